package dev.laneworks.core.backpressure;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;

/**
 * Records what targets say in their answers that they need.
 * <p>
 * A line is recorded where what a target says changes, and one a run of it where it can't
 * be true. Not thread-safe.
 *
 * @since 0.4
 */
public final class TargetsInNeed {

	private final AuditSink audit;

	private final Map<TargetRun, Double> limits = new HashMap<>();

	private final Set<TargetRun> leaving = new HashSet<>();

	/** Runs of targets that said something that can't be true. */
	private final Set<TargetRun> absurd = new HashSet<>();

	/**
	 * Create a record in which no target needs anything.
	 * @param audit hears of what targets say
	 */
	public TargetsInNeed(AuditSink audit) {
		this.audit = Objects.requireNonNull(audit, "audit must not be null");
	}

	/**
	 * Take what a target says in an answer.
	 * @param target the target
	 * @param needs what it says
	 */
	public void told(ListedTarget target, TargetNeeds needs) {
		toldLimit(target, needs.limitPerSecond());
		toldRest(target, needs.restMillis());
		if (needs.leaving() && this.leaving.add(target.run())) {
			record(target, "says in an answer that it is leaving");
		}
	}

	/**
	 * Forget a target that is gone.
	 * @param target the target
	 */
	public void forget(ListedTarget target) {
		this.limits.remove(target.run());
		this.leaving.remove(target.run());
		this.absurd.remove(target.run());
	}

	private void toldLimit(ListedTarget target, OptionalDouble perSecond) {
		if (perSecond.isEmpty()) {
			if (this.limits.remove(target.run()) != null) {
				record(target, "names no limit any more");
			}
			return;
		}
		double limit = perSecond.getAsDouble();
		if (!Double.isFinite(limit) || limit < 0) {
			recordAbsurd(target, "names a limit that can't be");
			return;
		}
		Double before = this.limits.put(target.run(), limit);
		if (before == null || before != limit) {
			record(target, "names a limit of " + limit + " requests a second");
		}
	}

	private void toldRest(ListedTarget target, OptionalLong millis) {
		if (millis.isPresent() && millis.getAsLong() < 0) {
			recordAbsurd(target, "asks for a rest that can't be");
		}
		else if (millis.isPresent()) {
			record(target, "asks for " + millis.getAsLong() + " ms of rest");
		}
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
