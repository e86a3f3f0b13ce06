package dev.laneworks.core.waiting;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ObjLongConsumer;

import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.returns.MemoryOutlook;

/**
 * Bounded queue of the generations that wait for the engines of one service. Not
 * thread-safe.
 */
final class ServiceQueue {

	private final Map<Long, QueuedGeneration> byCall = new LinkedHashMap<>();

	private final int maxQueued;

	private final StartTimes startTimes;

	private final MemoryRelease release = new MemoryRelease();

	private final QueueRanking ranking;

	/** Receives each change of the memory that an account's generations wait for. */
	private final ObjLongConsumer<String> queuedTokens;

	ServiceQueue(int maxQueued, StartTimes startTimes, QueueRanking ranking, ObjLongConsumer<String> queuedTokens) {
		this.maxQueued = maxQueued;
		this.startTimes = startTimes;
		this.ranking = ranking;
		this.queuedTokens = queuedTokens;
	}

	StartTimes startTimes() {
		return this.startTimes;
	}

	MemoryRelease release() {
		return this.release;
	}

	Collection<QueuedGeneration> generations() {
		return this.byCall.values();
	}

	int size() {
		return this.byCall.size();
	}

	long tokens() {
		return this.byCall.values().stream().mapToLong(QueuedGeneration::memoryTokens).sum();
	}

	List<QueuedGeneration> inOrder(long now) {
		return this.ranking.sort(this.byCall.values(), now);
	}

	boolean hasPriority(int lowest) {
		return this.byCall.values().stream().anyMatch((g) -> g.routePriority() <= lowest);
	}

	boolean contains(long call) {
		return this.byCall.containsKey(call);
	}

	boolean remove(long call) {
		QueuedGeneration removed = this.byCall.remove(call);
		if (removed != null) {
			this.queuedTokens.accept(removed.account(), -removed.memoryTokens());
		}
		return removed != null;
	}

	// Whether no other generation that may start at the same engines goes first.
	boolean isNext(QueuedGeneration generation, long now) {
		return ahead(generation, now).stream().noneMatch((g) -> g.holdsBack(generation));
	}

	/**
	 * Add a generation unless it is not to wait. In a full queue, the last generation
	 * makes room.
	 * @param generation the generation
	 * @param expectedWaitMillis the estimated time until it starts, in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the refusal of this generation or of the one that made room for it
	 */
	Optional<QueueRefusal> add(QueuedGeneration generation, long expectedWaitMillis, long now) {
		Optional<QueueRefusal> refusal = expired(generation, now);
		if (refusal.isPresent()) {
			return refusal;
		}
		if (now + expectedWaitMillis > generation.waitsUntil()) {
			return Optional.of(new QueueRefusal(generation, QueueRefusal.Cause.STARTS_TOO_LATE, expectedWaitMillis));
		}
		this.byCall.put(generation.call(), generation);
		this.queuedTokens.accept(generation.account(), generation.memoryTokens());
		return (size() > this.maxQueued) ? Optional.of(removeLast(expectedWaitMillis, now)) : Optional.empty();
	}

	private QueueRefusal removeLast(long expectedWaitMillis, long now) {
		QueuedGeneration last = this.ranking.findLast(this.byCall.values(), now);
		remove(last.call());
		return new QueueRefusal(last, QueueRefusal.Cause.QUEUE_FULL, expectedWaitMillis);
	}

	List<QueueRefusal> removeExpired(long now) {
		List<QueueRefusal> refusals = this.byCall.values().stream().flatMap((g) -> expired(g, now).stream()).toList();
		refusals.forEach((r) -> remove(r.generation().call()));
		return refusals;
	}

	private Optional<QueueRefusal> expired(QueuedGeneration generation, long now) {
		if (now >= generation.waitsUntil()) {
			return Optional.of(new QueueRefusal(generation, QueueRefusal.Cause.WAITED_TOO_LONG, 0));
		}
		if (now + this.startTimes.completeMillis(generation) > generation.dueAt()) {
			return Optional.of(new QueueRefusal(generation, QueueRefusal.Cause.COMPLETES_TOO_LATE, 0));
		}
		return Optional.empty();
	}

	/**
	 * Estimate the time until a generation starts.
	 * @param generation the generation, in the queue or not
	 * @param memory the memory of the engines
	 * @param maxUtilization the utilization up to which the generation may start
	 * @param others the demand at other entries
	 * @param entries the number of known entries
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time in milliseconds
	 */
	long expectedWaitMillis(QueuedGeneration generation, EngineMemory memory, double maxUtilization,
			ServiceDemand others, int entries, long now) {
		double ahead = ahead(generation, now).stream().mapToLong(QueuedGeneration::memoryTokens).sum();
		double own = generation.memoryTokens() + (double) tokens()
				- (this.byCall.containsKey(generation.call()) ? generation.memoryTokens() : 0);
		// Entries claim released memory in proportion to their queues.
		double share = Math.max(1.0 / entries, own / (own + others.queuedTokens()));
		double excess = Math.max(0, memory.utilization() - maxUtilization) * memory.totalTokens();
		return this.release.millisUntilReleased((ahead + generation.memoryTokens()) / share + excess,
				memory.totalTokens());
	}

	/**
	 * Describe what precedes a generation that is refused.
	 * @param generation the refused generation, which is not in the queue
	 * @param memory the memory of the engines
	 * @param maxUtilization the start limit of the generation
	 * @param others the demand of the other entries
	 * @param entries the number of known entries
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the expected release of memory and the demand for it
	 */
	MemoryOutlook outlook(QueuedGeneration generation, EngineMemory memory, double maxUtilization, ServiceDemand others,
			int entries, long now) {
		double used = memory.utilization() * memory.totalTokens();
		double excess = Math.max(0, memory.utilization() - maxUtilization) * memory.totalTokens();
		long ahead = ahead(generation, now).stream().mapToLong(QueuedGeneration::memoryTokens).sum();
		return new MemoryOutlook(this.release.tokensPerMilli(used), excess, tokens(), ahead, others, entries);
	}

	QueuePosition position(QueuedGeneration generation, long expectedWaitMillis, long now) {
		SortedMap<Integer, Integer> counts = new TreeMap<>();
		ahead(generation, now).forEach((g) -> counts.merge(g.priority(), 1, Integer::sum));
		return new QueuePosition(counts, this.ranking.slackMillis(generation, now), expectedWaitMillis);
	}

	private List<QueuedGeneration> ahead(QueuedGeneration generation, long now) {
		return this.ranking.ahead(generation, this.byCall.values(), now);
	}

}
