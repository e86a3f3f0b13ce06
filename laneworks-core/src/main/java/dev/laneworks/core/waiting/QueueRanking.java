package dev.laneworks.core.waiting;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import dev.laneworks.core.shares.AccountOveruse;

/**
 * Sort key of the waiting generations of one service: priority, priority of the route,
 * timeliness, share of the client account, returned callers, then the order of the
 * settings.
 */
final class QueueRanking {

	/** Use relative to the fair share above which an account is placed behind others. */
	private static final double MAX_USE_OF_SHARE = 1.05;

	private static final Comparator<Rank> RANKS = Comparator.comparingInt(Rank::priority)
		.thenComparingInt(Rank::routePriority)
		.thenComparing(Rank::isLate)
		.thenComparing(Rank::isOverShare)
		.thenComparing(Rank::isNew)
		.thenComparingDouble(Rank::order)
		.thenComparingLong((r) -> r.generation().arrivedAt())
		.thenComparingLong((r) -> r.generation().call());

	private final String service;

	private final QueueOrder order;

	private final StartTimes startTimes;

	private final AccountOveruse overuse;

	QueueRanking(String service, QueueOrder order, StartTimes startTimes, AccountOveruse overuse) {
		this.service = service;
		this.order = order;
		this.startTimes = startTimes;
		this.overuse = overuse;
	}

	List<QueuedGeneration> sort(Collection<QueuedGeneration> generations, long now) {
		return ranks(generations, now).sorted(RANKS).map(Rank::generation).toList();
	}

	// The generation to refuse from a full queue: the last one, of the account that
	// demands most beyond its share if there is one.
	QueuedGeneration findLast(Collection<QueuedGeneration> generations, long now) {
		Map<String, Double> demand = new HashMap<>();
		generations
			.forEach((g) -> demand.computeIfAbsent(g.account(), (a) -> this.overuse.ofDemand(this.service, a, now)));
		Optional<String> largest = demand.entrySet()
			.stream()
			.filter((e) -> e.getValue() > MAX_USE_OF_SHARE)
			.max(Map.Entry.comparingByValue())
			.map(Map.Entry::getKey);
		return ranks(generations, now)
			.filter((r) -> largest.filter((a) -> !a.equals(r.generation().account())).isEmpty())
			.max(RANKS)
			.orElseThrow()
			.generation();
	}

	// The generations that go before a given one.
	List<QueuedGeneration> ahead(QueuedGeneration generation, Collection<QueuedGeneration> others, long now) {
		Rank own = ranks(List.of(generation), now).findFirst().orElseThrow();
		return ranks(others, now).filter((r) -> RANKS.compare(r, own) < 0).map(Rank::generation).toList();
	}

	private Stream<Rank> ranks(Collection<QueuedGeneration> generations, long now) {
		Map<String, Boolean> overShare = new HashMap<>();
		return generations.stream()
			.map((g) -> rank(g, overShare.computeIfAbsent(g.account(), (a) -> isOverShare(a, now)), now));
	}

	// The time left until a generation must start, in milliseconds; negative if it can't
	// meet its goal any more.
	long slackMillis(QueuedGeneration generation, long now) {
		return generation.goalAt() - this.startTimes.firstEventMillis(generation.routePriority()) - now;
	}

	private Rank rank(QueuedGeneration generation, boolean isOverShare, long now) {
		boolean isLate = slackMillis(generation, now) < 0;
		QueueOrder.Slack slack = isLate ? untilDeadline(generation, now) : untilGoal(generation, now);
		return new Rank(generation, generation.priority(), generation.routePriority(), isLate, isOverShare,
				!generation.isReturned(), this.order.rank(generation, slack));
	}

	private QueueOrder.Slack untilGoal(QueuedGeneration generation, long now) {
		return slack(slackMillis(generation, now), generation.goalMillis());
	}

	private static QueueOrder.Slack untilDeadline(QueuedGeneration generation, long now) {
		return slack(generation.waitsUntil() - now, generation.waitsUntil() - generation.arrivedAt());
	}

	private static QueueOrder.Slack slack(long millis, long ofMillis) {
		return new QueueOrder.Slack(millis, Math.max(0, Math.min(1, (double) millis / Math.max(1, ofMillis))));
	}

	private boolean isOverShare(String account, long now) {
		return this.overuse.of(this.service, account, now) > MAX_USE_OF_SHARE;
	}

	private record Rank(QueuedGeneration generation, int priority, int routePriority, boolean isLate,
			boolean isOverShare, boolean isNew, double order) {

	}

}
