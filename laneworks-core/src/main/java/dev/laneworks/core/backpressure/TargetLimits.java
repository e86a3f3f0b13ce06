package dev.laneworks.core.backpressure;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.function.ToDoubleFunction;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.gossip.LimitNews;

/**
 * Keeps to the requests a second that targets take from all entries together, without a
 * shared counter.
 * <p>
 * Each entry sends its part. What it sends though its part is used up, because a
 * generation can go on nowhere else, is taken from what it sends next. A limit holds
 * until the target's answer to a request that was sent after the limit was told names
 * none; entries tell each other both. Pure code over explicit time; not thread-safe.
 *
 * @since 0.4
 */
public final class TargetLimits {

	/**
	 * The part of a limit that entries use together: what they know of each other's part
	 * is up to a heartbeat old.
	 */
	private static final double TOGETHER = 0.95;

	/**
	 * What is sent at the least to a target that takes less, in requests a second of all
	 * entries: only an answer tells that it takes more again.
	 */
	private static final double LEAST_PER_SECOND = 0.1;

	/** The highest limit that is believed, in requests a second. */
	private static final double MOST_PER_SECOND = 100_000;

	/**
	 * What all entries together may save up of a limit, in requests, and in seconds of
	 * the limit on top; half of what a target bears at once beyond its limit.
	 */
	private static final double SAVED_REQUESTS = 2.5;

	private static final double SAVED_SECONDS = 1;

	/** How often the own part is worked out anew, in milliseconds. */
	private static final long SHARE_MILLIS = 100;

	/** For how long others are told that a limit is over, in milliseconds. */
	private static final long OVER_TOLD_MILLIS = 10_000;

	/**
	 * For how long the limit of a target is known that is not listed any more, in
	 * milliseconds: it may have lapsed alone, and be back as it was.
	 */
	private static final long GONE_KNOWN_MILLIS = 60_000;

	/** The most limits that others are told of at once, so that news stay small. */
	private static final int MOST_TOLD = 64;

	/**
	 * How much newer the word of another entry must be than the one known, in
	 * milliseconds. The time that news are on their way makes them look newer than they
	 * are, and a word would come back from others as a newer one.
	 */
	private static final long NEWER_MILLIS = 50;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final DemandShare share;

	private final ToDoubleFunction<String> phase;

	private final Map<TargetRun, Limit> byRun = new HashMap<>();

	/**
	 * Create limits; no target has named one.
	 * @param share tells this entry's part
	 * @param phase gives a number from 0 to 1 for a target's id that differs from entry
	 * to entry
	 */
	public TargetLimits(DemandShare share, ToDoubleFunction<String> phase) {
		this.share = Objects.requireNonNull(share, "share must not be null");
		this.phase = Objects.requireNonNull(phase, "phase must not be null");
	}

	/**
	 * Return whether a limit can be meant.
	 * @param perSecond the requests a second
	 * @return {@code false} if it is negative, not a number or absurdly high
	 */
	static boolean canBe(double perSecond) {
		return perSecond >= 0 && perSecond <= MOST_PER_SECOND;
	}

	/**
	 * Take what a target says of its limit in an answer to this entry.
	 * @param target the target
	 * @param perSecond the limit, which can be meant; empty where the answer names none
	 * @param askedAt when the request was sent that it answers, in milliseconds
	 * @param now the time in milliseconds
	 * @return whether that is new
	 */
	boolean told(ListedTarget target, OptionalDouble perSecond, long askedAt, long now) {
		Limit known = this.byRun.get(target.run());
		boolean isKnownOver = known == null || known.perSecond.isEmpty();
		if (perSecond.isEmpty() && (isKnownOver || askedAt < known.toldAt)) {
			return false;
		}
		return take(target.run(), perSecond, now);
	}

	/**
	 * Take what a target said to another entry. What can't be true changes nothing.
	 * @param news what it said
	 * @param now the time in milliseconds
	 * @return whether that is new
	 */
	boolean heard(LimitNews news, long now) {
		Limit known = this.byRun.get(news.target());
		long toldAt = now - news.ageMillis();
		boolean isOlder = known != null && toldAt <= known.toldAt + NEWER_MILLIS;
		if (isOlder || !canBe(news.perSecond().orElse(0))) {
			return false;
		}
		return take(news.target(), news.perSecond(), toldAt);
	}

	private boolean take(TargetRun target, OptionalDouble perSecond, long toldAt) {
		this.byRun.values().removeIf((l) -> l.isForgotten(toldAt));
		Limit limit = this.byRun.computeIfAbsent(target, (run) -> new Limit());
		boolean isNew = !limit.perSecond.equals(perSecond);
		limit.perSecond = perSecond;
		limit.toldAt = toldAt;
		limit.goneAt = OptionalLong.empty();
		return isNew;
	}

	/**
	 * Return what others are to be told.
	 * @param now the time in milliseconds
	 * @return the last word of each target that names a limit, or did a moment ago, the
	 * newest ones first
	 */
	List<LimitNews> news(long now) {
		this.byRun.values().removeIf((l) -> l.isForgotten(now));
		return this.byRun.entrySet()
			.stream()
			.filter((e) -> e.getValue().goneAt.isEmpty())
			.sorted(Comparator.comparingLong((e) -> -e.getValue().toldAt))
			.limit(MOST_TOLD)
			.map((e) -> new LimitNews(e.getKey(), e.getValue().perSecond, Math.max(0, now - e.getValue().toldAt)))
			.toList();
	}

	/**
	 * Return after which time a target takes one more request of this entry.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return milliseconds; 0 if it does now. No more than until any entry has a permit
	 */
	long freeInMillis(ListedTarget target, long now) {
		Limit limit = this.byRun.get(target.run());
		if (limit == null || limit.perSecond.isEmpty()) {
			return 0;
		}
		advance(limit, target, now);
		double any = MILLIS_PER_SECOND / limit.allPerSecond();
		return (long) Math.ceil(Math.min(any, limit.permits.nextInMillis(limit.perMilli)));
	}

	/**
	 * Record that a request is sent to a target.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	void sent(ListedTarget target, long now) {
		Limit limit = this.byRun.get(target.run());
		if (limit != null && limit.perSecond.isPresent()) {
			limit.goneAt = OptionalLong.empty();
			advance(limit, target, now);
			limit.permits.take();
		}
	}

	/**
	 * Take that a run of a target is not listed any more.
	 * @param target the run
	 * @param now the time in milliseconds
	 */
	void gone(TargetRun target, long now) {
		Limit limit = this.byRun.get(target);
		if (limit != null) {
			limit.goneAt = OptionalLong.of(now);
		}
	}

	boolean isEmpty() {
		return this.byRun.isEmpty();
	}

	/**
	 * Return how many targets have named a limit.
	 * @return the count
	 */
	int count() {
		return (int) this.byRun.values().stream().filter((l) -> l.perSecond.isPresent() && l.goneAt.isEmpty()).count();
	}

	private void advance(Limit limit, ListedTarget target, long now) {
		if (limit.permits == null) {
			limit.permits = new PermitBucket(this.phase.applyAsDouble(target.id()), now);
		}
		if (now - limit.sharedAt >= SHARE_MILLIS) {
			limit.sharedAt = now;
			limit.part = this.share.of(target.service(), now);
		}
		limit.perMilli = limit.part * limit.allPerSecond() / MILLIS_PER_SECOND;
		limit.permits.accrue(limit.perMilli, limit.lifeMillis(), now);
	}

	private static final class Limit {

		private OptionalDouble perSecond = OptionalDouble.empty();

		private long toldAt;

		/** Since when the target is not listed, if it is not. */
		private OptionalLong goneAt = OptionalLong.empty();

		private double part;

		private long sharedAt = Long.MIN_VALUE / 2;

		private double perMilli;

		private PermitBucket permits;

		boolean isForgotten(long now) {
			boolean isOver = this.perSecond.isEmpty() && now - this.toldAt > OVER_TOLD_MILLIS;
			return isOver || (this.goneAt.isPresent() && now - this.goneAt.getAsLong() > GONE_KNOWN_MILLIS);
		}

		// What all entries send together.
		double allPerSecond() {
			return Math.max(LEAST_PER_SECOND, TOGETHER * this.perSecond.orElse(0));
		}

		// Permits of all entries that are not used add up to what may be saved.
		double lifeMillis() {
			return (SAVED_SECONDS + SAVED_REQUESTS / allPerSecond()) * MILLIS_PER_SECOND;
		}

	}

}
