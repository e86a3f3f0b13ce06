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
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.gossip.NeedsNews;

/**
 * Tells whether targets may be sent more, by what they say in their answers that they
 * need.
 * <p>
 * What is known is bound to a run of a target. A line is recorded where what a target
 * says changes, and one a run of it where it can't be true. Not thread-safe.
 *
 * @since 0.4
 */
public final class TargetsInNeed {

	private final TargetLimits limits;

	private final Consumer<TargetRun> toTell;

	private final AuditSink audit;

	private final TargetRests rests = new TargetRests();

	private final LeavingTargets leaving = new LeavingTargets();

	/** Runs of targets that said something that can't be true. */
	private final Set<TargetRun> absurd = new HashSet<>();

	/**
	 * Create a record in which no target needs anything.
	 * @param limits the limits that targets name
	 * @param toTell hears of targets of which others are to be told at once
	 * @param audit hears of what targets say
	 */
	public TargetsInNeed(TargetLimits limits, Consumer<TargetRun> toTell, AuditSink audit) {
		this.toTell = Objects.requireNonNull(toTell, "toTell must not be null");
		this.limits = Objects.requireNonNull(limits, "limits must not be null");
		this.audit = Objects.requireNonNull(audit, "audit must not be null");
	}

	/**
	 * Take what a target says in an answer.
	 * @param target the target
	 * @param needs what it says
	 * @param askedAt when the request was sent that it answers, in milliseconds
	 * @param now the time in milliseconds
	 */
	public void told(ListedTarget target, TargetNeeds needs, long askedAt, long now) {
		toldLimit(target, needs.limitPerSecond(), askedAt, now);
		toldRest(target, needs.restMillis(), now);
		if (needs.leaving() && this.leaving.said(target.run(), now)) {
			record(target, "says in an answer that it is leaving: nothing new goes there");
			this.toTell.accept(target.run());
		}
	}

	/**
	 * Take what targets said to another entry.
	 * @param news what they said
	 * @param isListed whether a run of a target is listed; others may name one for a
	 * while longer than it is here
	 * @param now the time in milliseconds
	 */
	public void heard(NeedsNews news, Predicate<TargetRun> isListed, long now) {
		news.limits().stream().filter((l) -> isListed.test(l.target())).forEach((l) -> this.limits.heard(l, now));
		news.leaving().forEach((t) -> heardLeaving(t, now));
	}

	/**
	 * Return what others are to be told.
	 * @param now the time in milliseconds
	 * @return what targets said last, limits heard from others included
	 */
	public NeedsNews news(long now) {
		return new NeedsNews(this.limits.news(now), this.leaving.toTell(now));
	}

	/**
	 * Return whether a target said that it is leaving, to this entry or another.
	 * @param target the target
	 * @return whether it takes nothing new
	 */
	public boolean isLeaving(ListedTarget target) {
		return this.leaving.contains(target.run());
	}

	/**
	 * Return whether no target has said of late that it is leaving.
	 * @return whether {@link #isLeaving} is true of none
	 */
	public boolean isNoneLeaving() {
		return this.leaving.isEmpty();
	}

	/**
	 * Return after which time a target takes one more request of this entry.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return milliseconds; 0 if it does now
	 */
	public long freeInMillis(ListedTarget target, long now) {
		return isQuiet() ? 0
				: Math.max(this.limits.freeInMillis(target, now), this.rests.leftMillis(target.run(), now));
	}

	/**
	 * Record that a request is sent to a target.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	public void sent(ListedTarget target, long now) {
		this.limits.sent(target, now);
		this.rests.sent(target.run(), now);
	}

	/**
	 * Take that a target is not listed any more. What it said is known for a while still.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	public void gone(ListedTarget target, long now) {
		this.limits.gone(target.run(), now);
		this.absurd.remove(target.run());
	}

	/**
	 * Return whether no target has named a limit or asked for rest lately.
	 * @return whether all take what they are sent, as far as is known
	 */
	public boolean isQuiet() {
		return this.limits.isEmpty() && this.rests.isEmpty();
	}

	/**
	 * Return whether a target has asked this entry for rest that is not over.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return whether it wants nothing from this entry
	 */
	public boolean isResting(ListedTarget target, long now) {
		return this.rests.leftMillis(target.run(), now) > 0;
	}

	/**
	 * Return whether a generation may go back to a target that it has been at, or goes on
	 * at a copy that stands there already.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return {@code false} if the target rests and has borne enough of that
	 */
	public boolean takesReturn(ListedTarget target, long now) {
		return this.rests.takesReturn(target.run(), now);
	}

	/**
	 * Return how many targets have asked this entry for rest that is not over.
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public int resting(long now) {
		return this.rests.count(now);
	}

	/**
	 * Return how many targets have named a limit.
	 * @return the count
	 */
	public int limited() {
		return this.limits.count();
	}

	private void heardLeaving(TargetRun target, long now) {
		if (this.leaving.heard(target, now)) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target.id(), target.id(),
					"said to another entry that it is leaving: nothing new goes there"));
		}
	}

	private void toldLimit(ListedTarget target, OptionalDouble perSecond, long askedAt, long now) {
		if (perSecond.isPresent() && !TargetLimits.canBe(perSecond.getAsDouble())) {
			recordAbsurd(target, "names a limit that can't be");
		}
		else if (this.limits.told(target, perSecond, askedAt, now)) {
			record(target, perSecond.isPresent() ? "names a limit of " + perSecond.getAsDouble() + " requests a second"
					: "names no limit any more");
			this.toTell.accept(target.run());
		}
	}

	private void toldRest(ListedTarget target, OptionalLong millis, long now) {
		if (millis.isEmpty()) {
			return;
		}
		if (!TargetRests.canBe(millis.getAsLong())) {
			recordAbsurd(target, "asks for a rest that can't be");
			return;
		}
		if (!isResting(target, now)) {
			record(target, "asks for " + millis.getAsLong() + " ms of rest");
		}
		this.rests.asked(target.run(), millis.getAsLong(), now);
	}

	private void recordAbsurd(ListedTarget target, String what) {
		if (this.absurd.add(target.run())) {
			record(target, what + "; passed over");
		}
	}

	private void record(ListedTarget target, String what) {
		this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target.id(), target.id(), what));
	}

}
