package dev.laneworks.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.speed.SpeedReport;

/**
 * Registry of the recorded state of all targets, which combines the work of this process
 * with that of other entries.
 * <p>
 * State is kept per incarnation, so that a restarted target begins without any. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class TargetEstimates {

	/** Lower bound of the random factor of a backoff; the upper bound is one more. */
	private static final double MIN_BACKOFF_FACTOR = 0.5;

	private final Map<TargetIncarnation, TargetEstimate> byIncarnation = new HashMap<>();

	private final Function<TargetIncarnation, Optional<WorkAtTarget>> others;

	private final RandomGenerator random;

	private ChangeListener changeListener = (target, change) -> {
	};

	private Consumer<ListedTarget> unreachableListener = (target) -> {
	};

	/**
	 * Create an empty registry.
	 * @param others a lookup of the work of all other entries at an incarnation, empty if
	 * none is known
	 * @param random the source of the backoff spread between processes
	 */
	public TargetEstimates(Function<TargetIncarnation, Optional<WorkAtTarget>> others, RandomGenerator random) {
		this.others = others;
		this.random = random;
	}

	/**
	 * Register the listener for changes of this process's work at targets, replacing any
	 * earlier one.
	 * @param listener the listener to notify
	 */
	public void onChange(ChangeListener listener) {
		this.changeListener = listener;
	}

	/**
	 * Register the listener for targets that become suspected unreachable, replacing any
	 * earlier one.
	 * @param listener the listener to notify
	 */
	public void onUnreachable(Consumer<ListedTarget> listener) {
		this.unreachableListener = listener;
	}

	/**
	 * Record that a target refused a connection.
	 * @param target the target that was connected to
	 */
	public void recordRefusedConnection(ListedTarget target) {
		of(target).connectionRefused();
		this.changeListener.changed(target, Change.URGENT);
	}

	/**
	 * Record that a target announced its draining to this process.
	 * @param target the draining target
	 */
	public void recordAnnouncedDraining(ListedTarget target) {
		of(target).recordAnnouncedDraining();
		this.changeListener.changed(target, Change.LEAVING);
	}

	/**
	 * Record that a connection to a target was established or that the target is listed
	 * anew, and end any suspicion.
	 * @param target the reachable target
	 */
	public void recordReachable(ListedTarget target) {
		TargetEstimate estimate = of(target);
		estimate.connected();
		estimate.unreachableDetector().reset(refusalsOfAllEntries(estimate));
	}

	/**
	 * Determine whether a target is suspected unreachable, by the refused connections of
	 * all entries. Notifies the registered listener when a suspicion begins.
	 * @param target the target to check
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the target should not receive requests
	 */
	public boolean isUnreachable(ListedTarget target, long now) {
		TargetEstimate estimate = of(target);
		if (estimate.unreachableDetector()
			.observe(refusalsOfAllEntries(estimate), MIN_BACKOFF_FACTOR + this.random.nextDouble(), now)) {
			this.unreachableListener.accept(target);
		}
		return estimate.unreachableDetector().isUnreachable(now);
	}

	/**
	 * Count the listed targets that are suspected unreachable.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of targets
	 */
	public long countUnreachable(long now) {
		return this.byIncarnation.values()
			.stream()
			.filter((b) -> !b.isRemoved() && b.unreachableDetector().isUnreachable(now))
			.count();
	}

	private long refusalsOfAllEntries(TargetEstimate estimate) {
		return estimate.refused()
				+ this.others.apply(estimate.target().incarnation()).map(WorkAtTarget::refused).orElse(0);
	}

	/**
	 * Update this process's work at a target and notify the listener. Does nothing if no
	 * state of the target is kept.
	 * @param target the target to update
	 * @param change the update
	 */
	public void update(ListedTarget target, Consumer<TargetEstimate> change) {
		TargetEstimate estimate = this.byIncarnation.get(target.incarnation());
		if (estimate == null) {
			return;
		}
		int toMove = estimate.pendingMoves();
		int inFlight = estimate.inFlight();
		boolean wasCopying = estimate.isCopying();
		change.accept(estimate);
		removeIfUnused(estimate);
		boolean isAwaitedByOthers = estimate.pendingMoves() != toMove || estimate.isCopying() != wasCopying;
		Change kind = (estimate.inFlight() > inFlight) ? Change.BEGUN : Change.OTHER;
		this.changeListener.changed(target, isAwaitedByOthers ? Change.URGENT : kind);
	}

	private void removeIfUnused(TargetEstimate estimate) {
		if (estimate.isRemoved() && estimate.inFlight() <= 0 && estimate.pendingMoves() <= 0
				&& estimate.reservedTokens() <= 0) {
			this.byIncarnation.remove(estimate.target().incarnation());
		}
	}

	/**
	 * Return this process's work at all targets, without their speeds.
	 * @return the work per incarnation, without targets that have nothing to report
	 */
	public List<WorkAtTarget> localWork() {
		return this.byIncarnation.values()
			.stream()
			.filter(TargetEstimates::hasWorkOrSignals)
			.map((b) -> work(b, Optional.empty()))
			.toList();
	}

	/**
	 * Return this process's work at all targets and the speeds that they reported to it,
	 * for gossip updates to other entries.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the work per incarnation, without targets that have nothing to report
	 */
	public List<WorkAtTarget> localWork(long now) {
		return this.byIncarnation.values().stream().flatMap((b) -> {
			Optional<SpeedReport> speed = b.speed().report(now);
			return (speed.isPresent() || hasWorkOrSignals(b)) ? Stream.of(work(b, speed)) : Stream.empty();
		}).toList();
	}

	/**
	 * Return the listed targets that currently take longest compared with their usual
	 * time.
	 * @param count the maximum number of targets
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the targets with a recent report, slowest first
	 */
	public List<TargetEstimate> slowest(int count, long now) {
		return this.byIncarnation.values()
			.stream()
			.filter((b) -> !b.isRemoved() && b.speed().isReporting(now))
			.sorted(Comparator.comparingDouble((TargetEstimate b) -> b.speed().factor(now)).reversed())
			.limit(count)
			.toList();
	}

	private static WorkAtTarget work(TargetEstimate estimate, Optional<SpeedReport> speed) {
		return new WorkAtTarget(estimate.target().incarnation(), estimate.inFlight(), estimate.reservedTokens(),
				estimate.pendingPromptTokens(), estimate.pendingMoves(), estimate.isCopying(), estimate.refused(),
				estimate.hasAnnouncedDraining(), speed);
	}

	private static boolean hasWorkOrSignals(TargetEstimate estimate) {
		return estimate.inFlight() > 0 || estimate.reservedTokens() > 0 || hasSignalsToReport(estimate);
	}

	/**
	 * Merge the speed of a target as another entry reports it. A target without recorded
	 * state is ignored, since it was removed or has not been considered here yet.
	 * @param target the incarnation of the target
	 * @param report the report as received
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void mergeSpeed(TargetIncarnation target, SpeedReport report, long now) {
		Optional.ofNullable(this.byIncarnation.get(target)).ifPresent((e) -> e.speed().merge(report, now));
	}

	private static boolean hasSignalsToReport(TargetEstimate estimate) {
		return !estimate.isRemoved() && (estimate.refused() > 0 || estimate.hasAnnouncedDraining());
	}

	/**
	 * Estimate how many requests of all processes are at a target.
	 * @param target the target to look up
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of requests
	 */
	public double requests(ListedTarget target, long now) {
		TargetEstimate estimate = of(target);
		return estimate.inFlight() + this.others.apply(target.incarnation())
			.map((w) -> (double) w.requests())
			.orElseGet(() -> estimate.requestsOfOthers(now));
	}

	/**
	 * Estimate the memory of an engine that is in use or reserved.
	 * @param target the engine to look up
	 * @param tokensOfOthers the tokens to assume per request of other processes where
	 * only their number is known
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of tokens
	 */
	public double reservedTokens(ListedTarget target, double tokensOfOthers, long now) {
		TargetEstimate estimate = of(target);
		return estimate.reservedTokens() + this.others.apply(target.incarnation())
			.map((w) -> (double) w.reservedTokens())
			.orElseGet(() -> estimate.requestsOfOthers(now) * tokensOfOthers);
	}

	/**
	 * Estimate the prompt tokens that an engine has yet to read.
	 * @param target the engine to look up
	 * @return the number of tokens
	 */
	public long pendingPromptTokens(ListedTarget target) {
		return of(target).pendingPromptTokens()
				+ this.others.apply(target.incarnation()).map(WorkAtTarget::pendingPromptTokens).orElse(0L);
	}

	/**
	 * Determine whether any entry is copying a generation from or to an engine.
	 * @param target the engine to check
	 * @return {@code true} if its link is in use
	 */
	public boolean isCopying(ListedTarget target) {
		return of(target).isCopying()
				|| this.others.apply(target.incarnation()).map(WorkAtTarget::copying).orElse(false);
	}

	/**
	 * Return the state of a target, creating it on first use.
	 * @param target the target to look up
	 * @return the recorded state, never {@code null}
	 */
	public TargetEstimate of(ListedTarget target) {
		return this.byIncarnation.computeIfAbsent(target.incarnation(), (incarnation) -> new TargetEstimate(target));
	}

	/**
	 * Mark a target as removed, and drop its state once this process has no more work
	 * there.
	 * @param target the removed target
	 */
	public void remove(ListedTarget target) {
		TargetEstimate estimate = this.byIncarnation.get(target.incarnation());
		if (estimate != null) {
			estimate.markRemoved();
			removeIfUnused(estimate);
		}
	}

	/**
	 * Return the mean share of failed responses among the other targets of the same
	 * service.
	 * @param target the target to exclude
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the mean share, from 0 to 1; 0 without other targets
	 */
	public double peersFailureRate(ListedTarget target, long now) {
		return this.byIncarnation.values()
			.stream()
			.filter((b) -> b.target().service().equals(target.service()) && !b.target().id().equals(target.id()))
			.mapToDouble((b) -> b.quality().failureRate(now))
			.average()
			.orElse(0);
	}

	/** Kind of change in this process's work at a target. */
	public enum Change {

		/** A request was sent to the target. */
		BEGUN,

		/** A move or copy whose links others wait for, or a refused connection. */
		URGENT,

		/** The target announced its draining. */
		LEAVING,

		/** Any other change. */
		OTHER

	}

	/** Listener for changes of this process's work at targets. */
	@FunctionalInterface
	public interface ChangeListener {

		/**
		 * Handle a change of the work at a target.
		 * @param target the target whose work changed
		 * @param change the kind of change
		 */
		void changed(ListedTarget target, Change change);

	}

}
