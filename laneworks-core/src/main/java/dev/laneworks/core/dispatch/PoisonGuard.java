package dev.laneworks.core.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.LeavingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.poison.BrokenRequests;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.poison.SuspectRequests;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Finds out under which calls targets end, and keeps their requests from others.
 * <p>
 * A call whose connection broke at a target that was to stay is suspected once the target
 * is known to have ended: a connection to it is refused, or the list drops it. Not
 * suspected is a generation that had sent events for a while, since what ends a target
 * does so as it begins, and what runs at a target that is leaving, which ends anyway.
 */
final class PoisonGuard {

	/**
	 * When it is looked whether a target is still there behind a break, in milliseconds:
	 * at once, since the same request may be on its way to another entry, and again for a
	 * target that closed its connections before its port.
	 */
	private static final List<Long> CHECKS_MILLIS = List.of(0L, 50L, 300L);

	/**
	 * When a caller may come back while it is not known whether a third target ended, in
	 * milliseconds; longer than the last look.
	 */
	private static final long UNKNOWN_MILLIS = 500;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final SuspectRequests suspects;

	private final TargetDirectory directory;

	private final Predicate<ListedTarget> saidLeaving;

	private final CallEnding ending;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final boolean isOn;

	/** The runs of targets that told of their end before it. */
	private final Set<TargetRun> announced = new HashSet<>();

	private final BrokenRequests broken = new BrokenRequests();

	PoisonGuard(SuspectRequests suspects, TargetDirectory directory, Predicate<ListedTarget> saidLeaving,
			CallEnding ending, Timers timers, DispatchOutputs outputs, AuditSink audit, boolean isOn) {
		this.suspects = suspects;
		this.directory = directory;
		this.saidLeaving = saidLeaving;
		this.ending = ending;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.isOn = isOn;
	}

	// Whether a call's request is kept from targets now. Targets at which it has just
	// broken off count as ended: where a third one may have, its copy is not to end a
	// fourth until that is known.
	boolean isQuarantined(DirectCall call, long now) {
		return this.isOn && quarantinedFor(call.request().digest(), now).isPresent();
	}

	private OptionalLong quarantinedFor(RequestDigest digest, long now) {
		OptionalLong left = this.suspects.quarantinedFor(digest, now);
		Set<TargetRun> runs = this.suspects.endedUnder(digest);
		int missing = this.suspects.endsMissing(digest);
		if (left.isPresent() || runs.isEmpty() || missing == 0) {
			return left;
		}
		long mayHaveEnded = this.broken.brokenOffAt(digest, now).stream().filter((r) -> !runs.contains(r)).count();
		return (mayHaveEnded >= missing) ? OptionalLong.of(UNKNOWN_MILLIS) : OptionalLong.empty();
	}

	/**
	 * Refuse a call whose request is kept from targets. Its caller learns at once that
	 * nothing is tried and for how long.
	 * @param call the call
	 * @param now the time in milliseconds
	 * @return whether it was refused
	 */
	boolean refuse(DirectCall call, long now) {
		RequestDigest digest = call.request().digest();
		OptionalLong left = quarantinedFor(digest, now);
		if (!this.isOn || left.isEmpty()) {
			return false;
		}
		String runs = this.suspects.endedUnder(digest)
			.stream()
			.map(TargetRun::id)
			.sorted()
			.collect(Collectors.joining(", "));
		this.ending.refuse(call, RefusalReason.QUARANTINED,
				new Shortage("targets ended under this request, digest " + digest.label() + ": " + runs
						+ "; it is sent to none for " + (left.getAsLong() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
						+ " s", left),
				now);
		return true;
	}

	/**
	 * Take that the connection of an attempt broke.
	 * @param call the call
	 * @param attempt the attempt, which was sent
	 * @param now the time in milliseconds
	 */
	void brokeOff(DirectCall call, Attempt attempt, long now) {
		ListedTarget target = attempt.target();
		boolean wasToStay = this.directory.isStaying(target) || this.directory.isFormerRun(target);
		if (!this.isOn || call.isCleared() || !wasToStay || this.announced.contains(target.run())
				|| this.saidLeaving.test(target)) {
			return;
		}
		if (this.broken.add(call.request().digest(), call.request().id(), target.run(), now)) {
			CHECKS_MILLIS.forEach((m) -> this.timers.at(now + m, (t) -> this.outputs.check(target)));
		}
	}

	/**
	 * Take that a connection to a target was refused: it has ended.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	void refused(ListedTarget target, long now) {
		ended(target, "connections are refused", now);
	}

	/**
	 * Take that a target takes connections, behind breaks that its end would explain.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	void reached(ListedTarget target, long now) {
		this.broken.isAlive(target.run(), now);
	}

	/**
	 * Take that the list shows a target to be leaving or over. Where it did not say so
	 * itself, it has ended if connections to it broke before.
	 * @param target the target
	 * @param cause what was seen
	 * @param now the time in milliseconds
	 */
	void leaving(ListedTarget target, LeavingCause cause, long now) {
		switch (cause) {
			case VANISHED, LAPSED, ADDRESS_TAKEN, STARTED_AGAIN -> ended(target, "the list says " + cause, now);
			case SAID_SO, SAID_SO_WHEN_ASKED, REFUSED -> {
				this.announced.add(target.run());
				this.broken.forget(target.run());
			}
		}
	}

	/**
	 * Take that a target is not listed any more. Calls that are still open at a run which
	 * was to stay broke off with it.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	void gone(ListedTarget target, long now) {
		if (this.directory.isFormerRun(target)) {
			ended(target, "another run of it is listed", now);
		}
		this.announced.remove(target.run());
	}

	// A call's request ran whole.
	void ranWhole(DirectCall call, long now) {
		if (this.isOn) {
			this.suspects.ranWhole(call.request().digest(), now);
		}
	}

	// An event of a call's generation came.
	void event(DirectCall call, Attempt attempt, long now) {
		if (!call.isCleared() && now - attempt.answeringAt() >= this.suspects.settings().clearedMillis()) {
			call.clear();
			ranWhole(call, now);
		}
	}

	private void ended(ListedTarget target, String evidence, long now) {
		for (BrokenRequests.Broken request : this.broken.endOf(target.run(), now)) {
			boolean isNew = this.suspects.ended(request.digest(), target.run(), request.brokenAt(), now);
			this.audit.record(AuditEvent.of(AuditKind.SUSPECTED, request.requestId(), target.id(),
					"the target ended under it, " + evidence + "; digest " + request.digest().label() + ", "
							+ this.suspects.endedUnder(request.digest()).size() + " ended so far"
							+ (isNew ? "" : ", which was known")));
		}
	}

}
