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
import dev.laneworks.core.follow.SharedReading;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.runtime.http.BackgroundWork;

/**
 * The platform's store as this entry follows it, with the plan, the targets and the
 * evacuations that stand in it.
 * <p>
 * An entry that follows the store, or hears one that does, holds just the targets that
 * the store lists, at the latest 8.2 s after the last fault: a watch whose answer was
 * lost (4.7 s), a wait, a call, and the time in which lapsed entries come back (1.8 s).
 */
final class FollowedStore {

	/** The wait before the store is asked again after a first failure. */
	private static final Duration FIRST_WAIT = Duration.ofMillis(80);

	/** The longest wait before the store is asked again, however often it failed. */
	private static final Duration LONGEST_WAIT = Duration.ofMillis(800);

	private final Evacuations evacuations;

	private final TargetDirectory directory;

	private final PlanAndTargets published;

	private final StoreFollower follower;

	/**
	 * Create an entry's view of the store; the follower's start begins the reading.
	 * @param source the store
	 * @param settings the times that it is asked by
	 * @param members hears of targets that come and go
	 * @param evacuationListener hears of data centres that are evacuated and taken back
	 * @param inForce takes each plan that comes into force
	 * @param reading shares the reading with other entries
	 * @param timers what is due later
	 * @param random the source of the waits' random part
	 * @param background reads large plans
	 * @param audit takes what was believed and why
	 */
	FollowedStore(ServingSource source, FollowSettings settings, DirectoryListener members,
			EvacuationListener evacuationListener, Consumer<ServingPlan> inForce, SharedReading reading, Timers timers,
			RandomGenerator random, BackgroundWork background, AuditSink audit) {
		this.evacuations = new Evacuations(evacuationListener);
		this.directory = new TargetDirectory(members, this.evacuations, timers);
		this.published = new PlanAndTargets(source, this.directory, this.evacuations, inForce, audit, background,
				timers);
		this.follower = new StoreFollower(settings, source.calls(this::follower), this.published, timers,
				new Backoff(FIRST_WAIT, LONGEST_WAIT, random), reading);
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
