package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.RevocationOutcome;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Revokes attempts and keys that have not run yet.
 */
final class Revoker {

	private final HostContext context;

	private final long incarnation;

	private final KeyGuard keyGuard;

	private final Refuser refuser;

	Revoker(HostContext context, long incarnation, KeyGuard keyGuard, Refuser refuser) {
		this.context = context;
		this.incarnation = incarnation;
		this.keyGuard = keyGuard;
		this.refuser = refuser;
	}

	void revokeAttempt(long link, EntryMessage.Revoke revoke, long now) {
		RevocationOutcome outcome = findAttemptOutcome(link, revoke);
		if (outcome == RevocationOutcome.BARRED) {
			this.context.registry().find(revoke.generation()).ifPresent((g) -> this.refuser.drop(g, now));
			this.context.registry().revoke(revoke.attemptName(), now);
		}
		this.context.audit().record(AuditKind.BARRED, revoke.generation(), "outcome " + outcome);
		this.context.outputs().send(link, new SidecarMessage.RevokeResult(revoke.stream(), outcome));
	}

	// Revoke a key at the request of a later home of the key.
	RevocationOutcome revokeKey(IdempotencyKey key, long now) {
		String name = key.generationName();
		Optional<Generation> generation = this.context.registry().find(name);
		if (generation.filter((g) -> !g.state().isBeforeExecution()).isPresent()
				|| this.context.registry().isDiscarded(name)) {
			return RevocationOutcome.HAS_RUN;
		}
		Optional<FleetConfiguration> configuration = this.context.configurationHolder().current();
		boolean isLookedUp = generation.isEmpty() || generation.get().state() == GenerationState.ASKING;
		if (isLookedUp && !configuration.filter((c) -> this.keyGuard.coversRetryWindow(c, now)).isPresent()) {
			return RevocationOutcome.UNKNOWN;
		}
		generation.ifPresent((g) -> this.refuser.refuseBeforeExecution(g,
				HostRefusals.retryHere(RefusalReason.WITHDRAWN, "a later home revoked the key"), now));
		this.context.registry().revoke(name, now);
		this.context.audit().record(AuditKind.BARRED, name, "revoked at the request of a later home");
		return RevocationOutcome.BARRED;
	}

	private RevocationOutcome findAttemptOutcome(long link, EntryMessage.Revoke revoke) {
		Optional<Generation> existing = this.context.registry().find(revoke.generation());
		if (existing.isPresent()) {
			return findHeldOutcome(existing.get(), link, revoke);
		}
		if (this.context.registry().isDiscarded(revoke.generation())) {
			return RevocationOutcome.HAS_RUN;
		}
		return (revoke.incarnation() == this.incarnation) ? RevocationOutcome.BARRED : RevocationOutcome.UNKNOWN;
	}

	private RevocationOutcome findHeldOutcome(Generation generation, long link, EntryMessage.Revoke revoke) {
		if (!generation.state().isBeforeExecution()) {
			return RevocationOutcome.HAS_RUN;
		}
		// Another call with the same key may have attached to the generation, which this
		// attempt must then not drop.
		boolean ownedByOther = generation.isKeyed() && generation.reader()
			.filter((r) -> r.link() != link || r.stream().call() != revoke.stream().call())
			.isPresent();
		return ownedByOther ? RevocationOutcome.UNKNOWN : RevocationOutcome.BARRED;
	}

}
