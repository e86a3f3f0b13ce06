package dev.laneworks.entry.direct;

import java.time.Duration;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.Evacuations;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.follow.FollowSettings;
import dev.laneworks.core.follow.SharedWatch;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.runtime.http.BackgroundExecutor;

/**
 * View of the platform's store: the follower and the plan, targets and evacuations that
 * it maintains.
 */
final class StoreView {

	/** Delay before the store is called again after a first failure. */
	private static final Duration FIRST_BACKOFF = Duration.ofMillis(80);

	/** Upper limit of the delay after repeated failures. */
	private static final Duration MAX_BACKOFF = Duration.ofMillis(800);

	private final Evacuations evacuations;

	private final TargetDirectory directory;

	private final PlanAndTargets published;

	private final StoreFollower follower;

	/**
	 * Create a view of the store; the start of its follower begins the reading.
	 * @param source the access to the platform's store
	 * @param settings the intervals and timeouts of store calls
	 * @param members the listener for targets that join, drain and leave
	 * @param evacuationListener the listener for evacuations of data centres
	 * @param planListener the consumer of each plan that becomes active
	 * @param watch the sharing of store updates with other entries
	 * @param timers the timers of the I/O thread
	 * @param random the source of jitter
	 * @param background the executor for parsing large plans
	 * @param audit the sink for audit events
	 */
	StoreView(ConfigurationSource source, FollowSettings settings, DirectoryListener members,
			EvacuationListener evacuationListener, Consumer<ServingPlan> planListener, SharedWatch watch, Timers timers,
			RandomGenerator random, BackgroundExecutor background, AuditSink audit) {
		this.evacuations = new Evacuations(evacuationListener);
		this.directory = new TargetDirectory(members, this.evacuations, timers);
		this.published = new PlanAndTargets(source, this.directory, this.evacuations, planListener, audit, background,
				timers);
		this.follower = new StoreFollower(settings, source.storeCalls(this::follower), this.published, timers,
				new Backoff(FIRST_BACKOFF, MAX_BACKOFF, random), watch);
	}

	TargetDirectory directory() {
		return this.directory;
	}

	Evacuations evacuations() {
		return this.evacuations;
	}

	PlanAndTargets published() {
		return this.published;
	}

	StoreFollower follower() {
		return this.follower;
	}

}
