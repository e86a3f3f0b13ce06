package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.Work;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Takes on requests that come, and readers that come back to a generation.
 */
final class Arrivals {

	private final HostParts host;

	private final long incarnation;

	private final Refuser refuser;

	private final Places places;

	private final KeyedRequests keyed;

	private final TargetAnswers answers;

	private boolean closed;

	/**
	 * Create the door of a host.
	 * @param host what the host's parts share
	 * @param incarnation the sidecar's incarnation
	 * @param refuser refuses requests
	 * @param places lets requests wait for a place
	 * @param keyed decides on keyed requests
	 * @param answers asks the target for output
	 */
	Arrivals(HostParts host, long incarnation, Refuser refuser, Places places, KeyedRequests keyed,
			TargetAnswers answers) {
		this.host = host;
		this.incarnation = incarnation;
		this.refuser = refuser;
		this.places = places;
		this.keyed = keyed;
		this.answers = answers;
	}

	// Takes no new requests from now on, because the target is leaving.
	void close() {
		this.closed = true;
	}

	boolean isClosed() {
		return this.closed;
	}

	void submit(long link, EntryMessage.Submit submit, long now) {
		Work work = submit.work();
		String name = work.generationName(submit.stream().attempt());
		Reader reader = new Reader(link, submit.stream(), 0, submit.creditLimit());
		Optional<Generation> known = this.host.held().find(name);
		if (known.isPresent()) {
			accept(known.get(), reader, now);
			return;
		}
		Optional<Refusal> refusal = refusalAtTheDoor(name, submit, now);
		if (refusal.isPresent()) {
			this.refuser.refuse(link, submit.stream(), work, refusal.get());
			return;
		}
		Generation generation = new Generation(name, work, weight(work), GenerationState.QUEUED, now);
		this.host.delivery().assign(generation, reader);
		if (work.onceKey().isEmpty()) {
			this.host.held().put(generation);
			this.places.enqueue(generation, now);
			return;
		}
		this.keyed.decide(generation, work.onceKey().get(), now);
	}

	void attach(long link, EntryMessage.Attach attach, long now) {
		Reader reader = new Reader(link, attach.stream(), attach.offset(), attach.creditLimit());
		Optional<Generation> known = this.host.held().find(attach.generation());
		if (known.isPresent()) {
			accept(known.get(), reader, now);
			return;
		}
		Optional<Refusal> refusal = refusalOfUnheld(attach);
		if (refusal.isPresent()) {
			this.host.counters().refused().increment();
			this.host.outputs().send(link, new SidecarMessage.Refused(attach.stream(), refusal.get()));
			return;
		}
		Generation adopted = Generation.adopted(attach.generation(), now);
		this.host.delivery().assign(adopted, reader);
		this.host.held().put(adopted);
		this.host.admission().addRunning(adopted);
		this.host.audit().record(AuditKind.ATTACHED, adopted, "an earlier sidecar started it");
		this.host.outputs().send(link, new SidecarMessage.Accepted(attach.stream(), adopted.name(), 0));
		this.answers.askForOutput(adopted, now);
	}

	private Optional<Refusal> refusalAtTheDoor(String name, EntryMessage.Submit submit, long now) {
		HeldGenerations held = this.host.held();
		if (held.isSpent(name)) {
			return Optional
				.of(Refusal.ran(RefusalReason.GENERATION_UNKNOWN, "the request ran and its output is no longer held"));
		}
		if (held.isBarred(name) || held.isBarred(submit.work().attemptName(submit.stream().attempt()))) {
			return Optional
				.of(HostRefusals.tryElsewhere(RefusalReason.WITHDRAWN, "the attempt was barred before it came"));
		}
		if (this.closed) {
			return Optional.of(HostRefusals.leaving());
		}
		return this.host.admission().refusal(submit.work(), now);
	}

	private Optional<Refusal> refusalOfUnheld(EntryMessage.Attach attach) {
		boolean isSpent = this.host.held().isSpent(attach.generation());
		if (!isSpent && this.host.held().isBarred(attach.generation())) {
			return Optional
				.of(HostRefusals.tryElsewhere(RefusalReason.WITHDRAWN, "the request was sent back before it ran"));
		}
		if (attach.incarnation() == this.incarnation || isSpent) {
			return Optional
				.of(Refusal.ran(RefusalReason.GENERATION_UNKNOWN, "the generation is over and no longer held"));
		}
		return Optional.empty();
	}

	private void accept(Generation generation, Reader reader, long now) {
		this.host.audit().record(AuditKind.ATTACHED, generation, "reader from offset " + reader.nextOffset());
		this.host.delivery().takeOver(generation, reader, now);
	}

	private double weight(Work work) {
		return this.host.ledger()
			.current()
			.flatMap((c) -> c.accountByName(work.account()))
			.map((a) -> a.weight())
			.orElse(1.0);
	}

}
