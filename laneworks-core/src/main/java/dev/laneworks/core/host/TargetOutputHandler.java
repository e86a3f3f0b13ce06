package dev.laneworks.core.host;

import dev.laneworks.core.admission.LengthModel;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Handles the output of generations from the target and requests missing output again.
 */
final class TargetOutputHandler {

	/** Delay before output is requested again after the connection was lost. */
	private static final long REATTACH_DELAY_MILLIS = 200;

	private final HostContext context;

	private final LengthModel lengths;

	private final Refuser refuser;

	private final SlotAllocator slots;

	private final GenerationTerminator terminator;

	TargetOutputHandler(HostContext context, LengthModel lengths, Refuser refuser, SlotAllocator slots,
			GenerationTerminator terminator) {
		this.context = context;
		this.lengths = lengths;
		this.refuser = refuser;
		this.slots = slots;
		this.terminator = terminator;
	}

	void handleChunk(Generation generation, long offset, byte[] data, long now) {
		int expected = generation.log().size();
		if (offset < expected) {
			this.context.counters().duplicates().increment();
			return;
		}
		if (offset > expected) {
			this.context.counters().gaps().increment();
			requestOutput(generation, now);
			return;
		}
		generation.stopReattaching();
		generation.log().append(data);
		this.context.counters().chunks().increment();
		this.context.admission().recordToken(generation);
		this.context.delivery().sendAvailable(generation, now);
	}

	void handleEnd(Generation generation, long total, FinishReason reason, long now) {
		if (total != generation.log().size()) {
			this.context.counters().gaps().increment();
			requestOutput(generation, now);
			return;
		}
		this.context.admission().remove(generation);
		generation.end(reason, now);
		this.lengths.observe(generation.lengthClass(), total);
		this.context.delivery().sendAvailable(generation, now);
		this.slots.admit(now);
	}

	void handleLoss(Generation generation, TargetLoss loss, long now) {
		switch (loss) {
			case NOT_SENT, REFUSED -> handleTargetRefusal(generation, loss, now);
			case BROKEN -> scheduleReattach(generation, now);
			case UNKNOWN -> this.terminator.fail(generation,
					HostRefusals.outputLost(generation, "the target no longer holds the generation"), now);
		}
	}

	// Handle the lookup of a generation that an earlier sidecar process may have
	// started.
	void handleLookUp(Generation generation, boolean found, long now) {
		if (!found) {
			this.refuser.refuseBeforeExecution(generation, generation.refusalIfUnknown(), now);
			return;
		}
		generation.transitionTo(GenerationState.RUNNING);
		this.context.admission().addRunning(generation);
		this.context.audit().record(AuditKind.ATTACHED, generation, "the target holds a generation of this name");
		requestOutput(generation, now);
	}

	void requestOutput(Generation generation, long now) {
		generation.startReattaching(now + this.context.settings().reattachMillis(), now);
		sendReattach(generation);
	}

	// Send a due reattach request, and fail the generation after the reattach timeout.
	void retryReattachIfDue(Generation generation, long now) {
		if (!generation.isReattaching()) {
			return;
		}
		if (now >= generation.reattachUntil()) {
			this.terminator.fail(generation, HostRefusals.outputLost(generation, "the target did not answer in time"),
					now);
		}
		else if (generation.reattachAt() != 0 && now >= generation.reattachAt()) {
			sendReattach(generation);
		}
	}

	private void handleTargetRefusal(Generation generation, TargetLoss loss, long now) {
		if (generation.log().size() > 0 || generation.isReattaching()) {
			scheduleReattach(generation, now);
			return;
		}
		String detail = (loss == TargetLoss.NOT_SENT) ? "the target could not be reached"
				: "the target refused the request";
		this.context.admission().remove(generation);
		this.refuser.refuseBeforeExecution(generation, HostRefusals.retryHere(RefusalReason.TARGET_REFUSED, detail),
				now);
	}

	private void scheduleReattach(Generation generation, long now) {
		generation.startReattaching(now + this.context.settings().reattachMillis(), now + REATTACH_DELAY_MILLIS);
	}

	private void sendReattach(Generation generation) {
		generation.recordReattachSent();
		this.context.outputs().reattach(generation.name(), generation.log().size());
	}

}
