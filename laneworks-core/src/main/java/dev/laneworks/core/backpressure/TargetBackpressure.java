package dev.laneworks.core.backpressure;

import java.util.HashSet;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.BackpressureUpdate;

/**
 * Back-pressure state of all targets, from the signals in their responses and from other
 * entries.
 * <p>
 * State is kept by incarnation of a target. A change is audited each time, an invalid
 * signal once for each incarnation. Not thread-safe.
 *
 * @since 0.4
 */
public final class TargetBackpressure {

	private final TargetRateLimits limits;

	private final Consumer<TargetIncarnation> announcer;

	private final AuditSink audit;

	private final TargetBackoffs backoffs = new TargetBackoffs();

	private final DrainingTargets draining = new DrainingTargets();

	/** Incarnations of targets that sent an invalid signal. */
	private final Set<TargetIncarnation> invalid = new HashSet<>();

	/**
	 * Create a record without any back-pressure.
	 * @param limits the rate limits of targets
	 * @param announcer receives each target whose signals must be sent to other entries
	 * at once
	 * @param audit receives an event for each change
	 */
	public TargetBackpressure(TargetRateLimits limits, Consumer<TargetIncarnation> announcer, AuditSink audit) {
		this.announcer = Objects.requireNonNull(announcer, "toTell must not be null");
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
		this.audit = Objects.requireNonNull(audit, "audit must not be null");
	}

	/**
	 * Record the signals in a response of a target.
	 * @param target the listed target
	 * @param signals the signals
	 * @param requestSentAt the time at which the request was sent, in milliseconds
	 * @param now the current time in milliseconds
	 */
	public void recordResponse(ListedTarget target, BackpressureSignals signals, long requestSentAt, long now) {
		recordLimit(target, signals.limitPerSecond(), requestSentAt, now);
		recordRequestedBackoff(target, signals.backoffMillis(), now);
		if (signals.draining() && this.draining.recordOwnReport(target.incarnation(), now)) {
			record(target, "reported that it is leaving: no new requests are sent there");
			this.announcer.accept(target.incarnation());
		}
	}

	/**
	 * Record signals that targets sent to other entries.
	 * @param signals the rate limits and draining targets
	 * @param isListed determines whether an incarnation is listed; other entries may
	 * still name one that is not
	 * @param now the current time in milliseconds
	 */
	public void recordGossiped(BackpressureUpdate signals, Predicate<TargetIncarnation> isListed, long now) {
		signals.limits()
			.stream()
			.filter((l) -> isListed.test(l.target()))
			.forEach((l) -> this.limits.recordGossiped(l, now));
		signals.draining().forEach((t) -> recordGossipedDraining(t, now));
	}

	/**
	 * Return the signals to pass on to other entries.
	 * @param now the current time in milliseconds
	 * @return the latest signals, including limits received from other entries
	 */
	public BackpressureUpdate signals(long now) {
		return new BackpressureUpdate(this.limits.updates(now), this.draining.toAnnounce(now));
	}

	/**
	 * Determine whether a target reported to any entry that it is draining.
	 * @param target the listed target
	 * @return {@code true} if it accepts no new requests
	 */
	public boolean isDraining(ListedTarget target) {
		return this.draining.contains(target.incarnation());
	}

	/**
	 * Determine whether no target is recorded as draining.
	 * @return {@code true} if {@link #isDraining} holds for no target
	 */
	public boolean isNoneDraining() {
		return this.draining.isEmpty();
	}

	/**
	 * Return the time until this entry may send another request to a target.
	 * @param target the listed target
	 * @param now the current time in milliseconds
	 * @return milliseconds; 0 if it may do so now
	 */
	public long waitMillis(ListedTarget target, long now) {
		return isUnrestricted() ? 0 : Math.max(this.limits.waitMillis(target, now),
				this.backoffs.remainingMillis(target.incarnation(), now));
	}

	/**
	 * Record that a request is sent to a target.
	 * @param target the listed target
	 * @param now the current time in milliseconds
	 */
	public void recordSent(ListedTarget target, long now) {
		this.limits.recordSent(target, now);
		this.backoffs.recordSent(target.incarnation(), now);
	}

	/**
	 * Record that a target is not listed any more. Its signals are retained for a limited
	 * time.
	 * @param target the listed target
	 * @param now the current time in milliseconds
	 */
	public void recordUnlisted(ListedTarget target, long now) {
		this.limits.recordUnlisted(target.incarnation(), now);
		this.invalid.remove(target.incarnation());
	}

	/**
	 * Determine whether no target has a rate limit or a backoff period on record.
	 * @return {@code true} if requests are not restricted
	 */
	public boolean isUnrestricted() {
		return this.limits.isEmpty() && this.backoffs.isEmpty();
	}

	/**
	 * Determine whether a target is in a backoff period.
	 * @param target the listed target
	 * @param now the current time in milliseconds
	 * @return {@code true} if this entry must not send new requests to it
	 */
	public boolean isBackingOff(ListedTarget target, long now) {
		return this.backoffs.remainingMillis(target.incarnation(), now) > 0;
	}

	/**
	 * Determine whether a generation may return to a target where it was before, or
	 * resume at a copy there.
	 * @param target the listed target
	 * @param now the current time in milliseconds
	 * @return {@code false} if the limit of returns within the current backoff period is
	 * reached
	 */
	public boolean allowsReturn(ListedTarget target, long now) {
		return this.backoffs.allowsReturn(target.incarnation(), now);
	}

	/**
	 * Return the number of targets in a backoff period.
	 * @param now the current time in milliseconds
	 * @return the count
	 */
	public int backoffCount(long now) {
		return this.backoffs.count(now);
	}

	/**
	 * Return the number of targets with a rate limit.
	 * @return the count
	 */
	public int limitCount() {
		return this.limits.count();
	}

	private void recordGossipedDraining(TargetIncarnation target, long now) {
		if (this.draining.recordDraining(target, now)) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target.id(), target.id(),
					"reported to another entry that it is leaving: no new requests are sent there"));
		}
	}

	private void recordLimit(ListedTarget target, OptionalDouble perSecond, long requestSentAt, long now) {
		if (perSecond.isPresent() && !TargetRateLimits.isValid(perSecond.getAsDouble())) {
			recordInvalid(target, "reported an invalid rate limit");
		}
		else if (this.limits.recordReported(target, perSecond, requestSentAt, now)) {
			record(target,
					perSecond.isPresent()
							? "reported a rate limit of " + perSecond.getAsDouble() + " requests per second"
							: "lifted its rate limit");
			this.announcer.accept(target.incarnation());
		}
	}

	private void recordRequestedBackoff(ListedTarget target, OptionalLong millis, long now) {
		if (millis.isEmpty()) {
			return;
		}
		if (!TargetBackoffs.isValid(millis.getAsLong())) {
			recordInvalid(target, "asked for an invalid backoff");
			return;
		}
		if (!isBackingOff(target, now)) {
			record(target, "asked for a backoff of " + millis.getAsLong() + " ms");
		}
		this.backoffs.recordBackoff(target.incarnation(), millis.getAsLong(), now);
	}

	private void recordInvalid(ListedTarget target, String what) {
		if (this.invalid.add(target.incarnation())) {
			record(target, what + "; passed over");
		}
	}

	private void record(ListedTarget target, String what) {
		this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target.id(), target.id(), what));
	}

}
