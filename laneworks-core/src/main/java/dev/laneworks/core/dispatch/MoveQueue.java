package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Queue of the generations of this process to be moved away from one engine, with at most
 * one copy in progress. Keeps the recorded state of the engines up to date.
 */
final class MoveQueue {

	private final ListedTarget source;

	private final long noticedAt;

	private final TargetEstimates estimates;

	private final List<DirectCall> waiting = new ArrayList<>();

	private Optional<DirectCall> active = Optional.empty();

	/** Source and destination of the copy in progress. */
	private List<ListedTarget> activeEngines = List.of();

	private boolean pollScheduled;

	/**
	 * Create an empty queue.
	 * @param source the draining engine
	 * @param noticedAt the time of its reclaim notice in milliseconds of the monotonic
	 * clock
	 * @param estimates the recorded state of all targets
	 */
	MoveQueue(ListedTarget source, long noticedAt, TargetEstimates estimates) {
		this.source = source;
		this.noticedAt = noticedAt;
		this.estimates = estimates;
	}

	ListedTarget source() {
		return this.source;
	}

	// The time since the reclaim notice, in milliseconds.
	long millisSinceNotice(long now) {
		return now - this.noticedAt;
	}

	void add(DirectCall call) {
		this.waiting.add(call);
		countPending(call, true);
	}

	// Requeues a call that cannot be copied now. Others may overtake it until it is
	// ready.
	void requeue(DirectCall call) {
		this.waiting.remove(call);
		this.waiting.add(call);
		countPending(call, false);
	}

	// Marks a requeued call as pending again, if it is still queued.
	boolean markReady(DirectCall call) {
		boolean isWaiting = this.waiting.contains(call);
		if (isWaiting) {
			countPending(call, true);
		}
		return isWaiting;
	}

	/**
	 * Return the ready call whose generation may be stopped already, or else the one with
	 * the fewest tokens to copy.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the call, or empty if a copy is in progress or no call is ready
	 */
	Optional<DirectCall> next(long now) {
		if (this.active.isPresent()) {
			return Optional.empty();
		}
		return this.waiting.stream()
			.filter((c) -> c.move().get().notBefore() <= now)
			.min(Comparator.comparing((DirectCall c) -> !mayBeStopped(c)).thenComparingLong(MoveQueue::tokensToCopy));
	}

	// Starts the copy of a call whose destination is set.
	void startCopy(DirectCall call) {
		this.waiting.remove(call);
		endActiveCopy();
		this.active = Optional.of(call);
		this.activeEngines = List.of(this.source, call.move().get().destination());
		this.activeEngines.forEach((e) -> this.estimates.update(e, (b) -> b.addCopies(1)));
	}

	void endActiveCopy() {
		this.activeEngines.forEach((e) -> this.estimates.update(e, (b) -> b.addCopies(-1)));
		this.activeEngines = List.of();
		this.active = Optional.empty();
	}

	void remove(DirectCall call) {
		this.waiting.remove(call);
		if (this.active.filter((c) -> c == call).isPresent()) {
			endActiveCopy();
		}
		countPending(call, false);
	}

	// The generations other than that of a call which may have been stopped.
	long countStopped(DirectCall except) {
		return Stream.concat(this.active.stream(), this.waiting.stream())
			.filter((c) -> c != except && mayBeStopped(c))
			.count();
	}

	static boolean mayBeStopped(DirectCall call) {
		return call.attempt().filter(Attempt::mayBeStopped).isPresent();
	}

	boolean isEmpty() {
		return this.waiting.isEmpty() && this.active.isEmpty();
	}

	/**
	 * Record that a poll of the queue is to be scheduled.
	 * @return {@code false} if one is scheduled already
	 */
	boolean markPollScheduled() {
		boolean isNew = !this.pollScheduled;
		this.pollScheduled = true;
		return isNew;
	}

	void clearPollScheduled() {
		this.pollScheduled = false;
	}

	// The tokens of a call's generation that no standby copy holds yet.
	static long tokensToCopy(DirectCall call) {
		long tokens = call.attempt().map(Attempt::reservedTokens).orElse(0L);
		return tokens - call.standby().map(StandbyCopy::copiedTokens).orElse(0L);
	}

	private void countPending(DirectCall call, boolean isToMove) {
		GenerationMove move = call.move().get();
		if (move.isAnnounced() != isToMove) {
			move.setAnnounced(isToMove);
			this.estimates.update(this.source, (b) -> b.addPendingMoves(isToMove ? 1 : -1));
		}
	}

}
