package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Handles new requests from entries and readers that attach to a held generation.
 */
final class RequestAcceptor {

	private final HostContext context;

	private final long incarnation;

	private final Refuser refuser;

	private final SlotAllocator slots;

	private final KeyedRequests keyedRequests;

	private final TargetOutputHandler outputHandler;

	private boolean closed;

	RequestAcceptor(HostContext context, long incarnation, Refuser refuser, SlotAllocator slots,
			KeyedRequests keyedRequests, TargetOutputHandler outputHandler) {
		this.context = context;
		this.incarnation = incarnation;
		this.refuser = refuser;
		this.slots = slots;
		this.keyedRequests = keyedRequests;
		this.outputHandler = outputHandler;
	}

	// Reject all further new requests, because the target is draining.
	void close() {
		this.closed = true;
	}

	boolean isClosed() {
		return this.closed;
	}

	void submit(long link, EntryMessage.Submit submit, long now) {
		SidecarRequest request = submit.work();
		String name = request.generationName(submit.stream().attempt());
		Reader reader = new Reader(link, submit.stream(), 0, submit.creditLimit());
		Optional<Generation> existing = this.context.registry().find(name);
		if (existing.isPresent()) {
			accept(existing.get(), reader, now);
			return;
		}
		Optional<Refusal> refusal = findSubmitRefusal(name, submit, now);
		if (refusal.isPresent()) {
			this.refuser.refuse(link, submit.stream(), request, refusal.get());
			return;
		}
		Generation generation = new Generation(name, request, weight(request), GenerationState.QUEUED, now);
		this.context.delivery().attachReader(generation, reader);
		if (request.idempotencyKey().isEmpty()) {
			this.context.registry().put(generation);
			this.slots.enqueue(generation, now);
			return;
		}
		this.keyedRequests.decide(generation, request.idempotencyKey().get(), now);
	}

	void attach(long link, EntryMessage.Attach attach, long now) {
		Reader reader = new Reader(link, attach.stream(), attach.offset(), attach.creditLimit());
		Optional<Generation> existing = this.context.registry().find(attach.generation());
		if (existing.isPresent()) {
			accept(existing.get(), reader, now);
			return;
		}
		Optional<Refusal> refusal = findAttachRefusal(attach);
		if (refusal.isPresent()) {
			this.context.counters().refused().increment();
			this.context.outputs().send(link, new SidecarMessage.Refused(attach.stream(), refusal.get()));
			return;
		}
		Generation adopted = Generation.adopted(attach.generation(), now);
		this.context.delivery().attachReader(adopted, reader);
		this.context.registry().put(adopted);
		this.context.admission().addRunning(adopted);
		this.context.audit().record(AuditKind.ATTACHED, adopted, "started by an earlier sidecar process");
		this.context.outputs().send(link, new SidecarMessage.Accepted(attach.stream(), adopted.name(), 0));
		this.outputHandler.requestOutput(adopted, now);
	}

	private Optional<Refusal> findSubmitRefusal(String name, EntryMessage.Submit submit, long now) {
		GenerationRegistry registry = this.context.registry();
		if (registry.isDiscarded(name)) {
			return Optional.of(Refusal.ranInPart(RefusalReason.GENERATION_UNKNOWN,
					"the request ran and its output is no longer held"));
		}
		if (registry.isRevoked(name) || registry.isRevoked(submit.work().attemptName(submit.stream().attempt()))) {
			return Optional
				.of(HostRefusals.retryElsewhere(RefusalReason.WITHDRAWN, "the attempt was revoked before it arrived"));
		}
		if (this.closed) {
			return Optional.of(HostRefusals.draining());
		}
		return this.context.admission().findRefusal(submit.work(), now);
	}

	private Optional<Refusal> findAttachRefusal(EntryMessage.Attach attach) {
		boolean isDiscarded = this.context.registry().isDiscarded(attach.generation());
		if (!isDiscarded && this.context.registry().isRevoked(attach.generation())) {
			return Optional
				.of(HostRefusals.retryElsewhere(RefusalReason.WITHDRAWN, "the request was rejected before it ran"));
		}
		if (attach.incarnation() == this.incarnation || isDiscarded) {
			return Optional.of(Refusal.ranInPart(RefusalReason.GENERATION_UNKNOWN,
					"the generation finished and its output is no longer held"));
		}
		return Optional.empty();
	}

	private void accept(Generation generation, Reader reader, long now) {
		this.context.audit().record(AuditKind.ATTACHED, generation, "reader from offset " + reader.nextOffset());
		this.context.delivery().replaceReader(generation, reader, now);
	}

	private double weight(SidecarRequest request) {
		return this.context.configurationHolder()
			.current()
			.flatMap((c) -> c.accountByName(request.account()))
			.map((a) -> a.weight())
			.orElse(1.0);
	}

}
