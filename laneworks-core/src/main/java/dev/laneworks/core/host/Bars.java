package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.BarOutcome;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Keeps attempts and keys from running, where they have not run yet.
 */
final class Bars {

	private final HostParts host;

	private final long incarnation;

	private final KeyGuard keyGuard;

	private final Refuser refuser;

	Bars(HostParts host, long incarnation, KeyGuard keyGuard, Refuser refuser) {
		this.host = host;
		this.incarnation = incarnation;
		this.keyGuard = keyGuard;
		this.refuser = refuser;
	}

	void barAttempt(long link, EntryMessage.Bar bar, long now) {
		BarOutcome outcome = attemptOutcome(link, bar);
		if (outcome == BarOutcome.BARRED) {
			this.host.held().find(bar.generation()).ifPresent((g) -> this.refuser.drop(g, now));
			this.host.held().bar(bar.attemptName(), now);
		}
		this.host.audit().record(AuditKind.BARRED, bar.generation(), "outcome " + outcome);
		this.host.outputs().send(link, new SidecarMessage.BarResult(bar.stream(), outcome));
	}

	// Bars a key because a later home of it asks for that.
	BarOutcome barKey(OnceKey key, long now) {
		String name = key.generationName();
		Optional<Generation> generation = this.host.held().find(name);
		if (generation.filter((g) -> !g.state().isBeforeRun()).isPresent() || this.host.held().isSpent(name)) {
			return BarOutcome.HAS_RUN;
		}
		Optional<FleetConfiguration> configuration = this.host.ledger().current();
		if (generation.isEmpty() && !configuration.filter((c) -> this.keyGuard.remembersWindow(c, now)).isPresent()) {
			return BarOutcome.UNKNOWN;
		}
		generation.ifPresent((g) -> this.refuser.refuseBeforeRun(g,
				HostRefusals.comeBack(RefusalReason.WITHDRAWN, "another home barred the key"), now));
		this.host.held().bar(name, now);
		this.host.audit().record(AuditKind.BARRED, name, "a later home asked for it");
		return BarOutcome.BARRED;
	}

	private BarOutcome attemptOutcome(long link, EntryMessage.Bar bar) {
		Optional<Generation> held = this.host.held().find(bar.generation());
		if (held.isPresent()) {
			return outcomeOfHeld(held.get(), link, bar);
		}
		if (this.host.held().isSpent(bar.generation())) {
			return BarOutcome.HAS_RUN;
		}
		return (bar.incarnation() == this.incarnation) ? BarOutcome.BARRED : BarOutcome.UNKNOWN;
	}

	private BarOutcome outcomeOfHeld(Generation generation, long link, EntryMessage.Bar bar) {
		if (!generation.state().isBeforeRun()) {
			return BarOutcome.HAS_RUN;
		}
		// Another try with the same key may have taken the generation over; it is not
		// this attempt's to drop.
		boolean isOthers = generation.isKeyed() && generation.reader()
			.filter((r) -> r.link() != link || r.stream().call() != bar.stream().call())
			.isPresent();
		return isOthers ? BarOutcome.UNKNOWN : BarOutcome.BARRED;
	}

}
