package dev.laneworks.core.host;

import dev.laneworks.core.admission.LengthModel;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Takes the output of generations from the target, and asks again for what is missing.
 */
final class TargetAnswers {

	/**
	 * The wait before a lost target is asked again for output, in milliseconds; a chosen
	 * figure.
	 */
	private static final long REATTACH_GAP_MILLIS = 200;

	private final HostParts host;

	private final LengthModel lengths;

	private final Refuser refuser;

	private final Places places;

	private final Endings endings;

	TargetAnswers(HostParts host, LengthModel lengths, Refuser refuser, Places places, Endings endings) {
		this.host = host;
		this.lengths = lengths;
		this.refuser = refuser;
		this.places = places;
		this.endings = endings;
	}

	void chunk(Generation generation, long offset, byte[] data, long now) {
		int expected = generation.log().size();
		if (offset < expected) {
			this.host.counters().duplicates().increment();
			return;
		}
		if (offset > expected) {
			this.host.counters().gaps().increment();
			askForOutput(generation, now);
			return;
		}
		generation.stopReattaching();
		generation.log().append(data);
		this.host.counters().tokens().increment();
		this.host.admission().recordToken(generation);
		this.host.delivery().pump(generation, now);
	}

	void end(Generation generation, long total, FinishReason reason, long now) {
		if (total != generation.log().size()) {
			this.host.counters().gaps().increment();
			askForOutput(generation, now);
			return;
		}
		this.host.admission().remove(generation);
		generation.end(reason, now);
		this.lengths.observe(generation.lengthClass(), total);
		this.host.delivery().pump(generation, now);
		this.places.admit(now);
	}

	void lost(Generation generation, TargetLoss loss, long now) {
		switch (loss) {
			case NOT_SENT, REFUSED -> refusedByTarget(generation, loss, now);
			case BROKEN -> askLater(generation, now);
			case UNKNOWN -> this.endings.fail(generation,
					HostRefusals.lostAnswer(generation, "the target no longer holds the generation"), now);
		}
	}

	// Takes whether the target holds a generation that an earlier sidecar may have
	// started.
	void lookedUp(Generation generation, boolean found, long now) {
		if (!found) {
			this.refuser.refuseBeforeRun(generation, generation.answerIfUnknown(), now);
			return;
		}
		generation.enter(GenerationState.RUNNING);
		this.host.admission().addRunning(generation);
		this.host.audit().record(AuditKind.ATTACHED, generation, "the target holds a generation of this name");
		askForOutput(generation, now);
	}

	void askForOutput(Generation generation, long now) {
		generation.startReattaching(now + this.host.settings().reattachMillis(), now);
		sendReattach(generation);
	}

	// Asks again if it is time, and gives up a generation whose target stays lost.
	void askAgainIfDue(Generation generation, long now) {
		if (!generation.isReattaching()) {
			return;
		}
		if (now >= generation.reattachUntil()) {
			this.endings.fail(generation, HostRefusals.lostAnswer(generation, "the target did not answer in time"),
					now);
		}
		else if (generation.reattachAt() != 0 && now >= generation.reattachAt()) {
			sendReattach(generation);
		}
	}

	private void refusedByTarget(Generation generation, TargetLoss loss, long now) {
		if (generation.log().size() > 0 || generation.isReattaching()) {
			askLater(generation, now);
			return;
		}
		String detail = (loss == TargetLoss.NOT_SENT) ? "the target could not be reached"
				: "the target refused the request";
		this.host.admission().remove(generation);
		this.refuser.refuseBeforeRun(generation, HostRefusals.comeBack(RefusalReason.TARGET_REFUSED, detail), now);
	}

	private void askLater(Generation generation, long now) {
		generation.startReattaching(now + this.host.settings().reattachMillis(), now + REATTACH_GAP_MILLIS);
	}

	private void sendReattach(Generation generation) {
		generation.reattachSent();
		this.host.outputs().reattach(generation.name(), generation.log().size());
	}

}
