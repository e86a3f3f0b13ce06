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
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.RateLimitUpdate;

/**
 * Enforces the rate limits that targets advertise for all entries together, without a
 * shared counter.
 * <p>
 * Each entry sends its share. A request that exceeds the share, because its generation
 * can resume nowhere else, is deducted from later permits. A limit holds until a response
 * without a limit arrives to a request that was sent after the limit was advertised;
 * entries pass on both to each other. Time is passed in explicitly. Not thread-safe.
 *
 * @since 0.4
 */
public final class TargetRateLimits {

	/**
	 * The fraction of a limit that entries use together; allows for shares that are up to
	 * a heartbeat old.
	 */
	private static final double USABLE_FRACTION = 0.95;

	/**
	 * The lowest rate of requests of all entries to a target, per second. Only a response
	 * reveals that a target accepts more again.
	 */
	private static final double MIN_PER_SECOND = 0.1;

	/** The highest valid limit, in requests per second. */
	private static final double MAX_PER_SECOND = 100_000;

	/**
	 * The burst that all entries together may save up: a number of requests plus some
	 * seconds of the limit.
	 */
	private static final double BURST_REQUESTS = 2.5;

	private static final double BURST_SECONDS = 1;

	/** The interval for computing the share anew, in milliseconds. */
	private static final long SHARE_REFRESH_MILLIS = 100;

	/** The time for which a lifted limit is announced to others, in milliseconds. */
	private static final long LIFTED_ANNOUNCE_MILLIS = 10_000;

	/**
	 * The retention of the limit of a target that is not listed, in milliseconds; the
	 * target may be listed again soon.
	 */
	private static final long UNLISTED_RETENTION_MILLIS = 60_000;

	/** The most limits in one update; bounds its size. */
	private static final int MAX_ANNOUNCED = 64;

	/**
	 * The least difference in age by which a limit from another entry replaces the
	 * recorded one, in milliseconds. Delivery time makes limits look newer than they are,
	 * and an entry would accept its own limit as a newer one.
	 */
	private static final long MIN_AGE_DIFFERENCE_MILLIS = 50;

	private static final double MILLIS_PER_SECOND = 1_000;

	private final RateLimitShare share;

	private final ToDoubleFunction<String> phase;

	private final Map<TargetIncarnation, Limit> byIncarnation = new HashMap<>();

	/**
	 * Create a record without any limit.
	 * @param share computes the share of this entry
	 * @param phase computes a number from 0 to 1 for the id of a target that differs
	 * between entries
	 */
	public TargetRateLimits(RateLimitShare share, ToDoubleFunction<String> phase) {
		this.share = Objects.requireNonNull(share, "share must not be null");
		this.phase = Objects.requireNonNull(phase, "phase must not be null");
	}

	/**
	 * Determine whether a limit is valid.
	 * @param perSecond the requests per second
	 * @return {@code false} if it is negative, not a number or above the highest valid
	 * limit
	 */
	static boolean isValid(double perSecond) {
		return perSecond >= 0 && perSecond <= MAX_PER_SECOND;
	}

	/**
	 * Record the limit in a response to this entry.
	 * @param target the listed target
	 * @param perSecond the limit, which must be valid; empty if the response has none
	 * @param requestSentAt the time at which the request was sent, in milliseconds
	 * @param now the current time in milliseconds
	 * @return {@code true} if the limit changed
	 */
	boolean recordReported(ListedTarget target, OptionalDouble perSecond, long requestSentAt, long now) {
		Limit recorded = this.byIncarnation.get(target.incarnation());
		boolean isKnownUnlimited = recorded == null || recorded.perSecond.isEmpty();
		if (perSecond.isEmpty() && (isKnownUnlimited || requestSentAt < recorded.reportedAt)) {
			return false;
		}
		return update(target.incarnation(), perSecond, now);
	}

	/**
	 * Record the limit that a target advertised to another entry. An invalid limit is
	 * ignored.
	 * @param advertised the limit
	 * @param now the current time in milliseconds
	 * @return {@code true} if the limit changed
	 */
	boolean recordGossiped(RateLimitUpdate advertised, long now) {
		Limit recorded = this.byIncarnation.get(advertised.target());
		long reportedAt = now - advertised.ageMillis();
		boolean isOlder = recorded != null && reportedAt <= recorded.reportedAt + MIN_AGE_DIFFERENCE_MILLIS;
		if (isOlder || !isValid(advertised.perSecond().orElse(0))) {
			return false;
		}
		return update(advertised.target(), advertised.perSecond(), reportedAt);
	}

	private boolean update(TargetIncarnation target, OptionalDouble perSecond, long reportedAt) {
		this.byIncarnation.values().removeIf((l) -> l.isExpired(reportedAt));
		Limit limit = this.byIncarnation.computeIfAbsent(target, (incarnation) -> new Limit());
		boolean isNew = !limit.perSecond.equals(perSecond);
		limit.perSecond = perSecond;
		limit.reportedAt = reportedAt;
		limit.unlistedAt = OptionalLong.empty();
		return isNew;
	}

	/**
	 * Return the limits to pass on to others.
	 * @param now the current time in milliseconds
	 * @return the current and the recently lifted limits, the most recent first
	 */
	List<RateLimitUpdate> updates(long now) {
		this.byIncarnation.values().removeIf((l) -> l.isExpired(now));
		return this.byIncarnation.entrySet()
			.stream()
			.filter((e) -> e.getValue().unlistedAt.isEmpty())
			.sorted(Comparator.comparingLong((e) -> -e.getValue().reportedAt))
			.limit(MAX_ANNOUNCED)
			.map((e) -> new RateLimitUpdate(e.getKey(), e.getValue().perSecond,
					Math.max(0, now - e.getValue().reportedAt)))
			.toList();
	}

	/**
	 * Return the time until this entry may send another request to a target.
	 * @param target the listed target
	 * @param now the current time in milliseconds
	 * @return milliseconds, 0 if it may do so now; at most the time until any entry has a
	 * permit
	 */
	long waitMillis(ListedTarget target, long now) {
		Limit limit = this.byIncarnation.get(target.incarnation());
		if (limit == null || limit.perSecond.isEmpty()) {
			return 0;
		}
		advance(limit, target, now);
		double anyEntryMillis = MILLIS_PER_SECOND / limit.allPerSecond();
		return (long) Math.ceil(Math.min(anyEntryMillis, limit.permits.nextInMillis(limit.perMilli)));
	}

	/**
	 * Record that a request is sent to a target.
	 * @param target the listed target
	 * @param now the current time in milliseconds
	 */
	void recordSent(ListedTarget target, long now) {
		Limit limit = this.byIncarnation.get(target.incarnation());
		if (limit != null && limit.perSecond.isPresent()) {
			limit.unlistedAt = OptionalLong.empty();
			advance(limit, target, now);
			limit.permits.spend();
		}
	}

	/**
	 * Record that a target is not listed any more.
	 * @param target the incarnation of the target
	 * @param now the current time in milliseconds
	 */
	void recordUnlisted(TargetIncarnation target, long now) {
		Limit limit = this.byIncarnation.get(target);
		if (limit != null) {
			limit.unlistedAt = OptionalLong.of(now);
		}
	}

	boolean isEmpty() {
		return this.byIncarnation.isEmpty();
	}

	/**
	 * Return the number of listed targets with a limit.
	 * @return the count
	 */
	int count() {
		return (int) this.byIncarnation.values()
			.stream()
			.filter((l) -> l.perSecond.isPresent() && l.unlistedAt.isEmpty())
			.count();
	}

	private void advance(Limit limit, ListedTarget target, long now) {
		if (limit.permits == null) {
			limit.permits = new PermitBucket(this.phase.applyAsDouble(target.id()), now);
		}
		if (now - limit.shareComputedAt >= SHARE_REFRESH_MILLIS) {
			limit.shareComputedAt = now;
			limit.ownShare = this.share.of(target.service(), now);
		}
		limit.perMilli = limit.ownShare * limit.allPerSecond() / MILLIS_PER_SECOND;
		limit.permits.accrue(limit.perMilli, limit.lifeMillis(), now);
	}

	private static final class Limit {

		private OptionalDouble perSecond = OptionalDouble.empty();

		private long reportedAt;

		/** The time since which the target is not listed; empty while it is listed. */
		private OptionalLong unlistedAt = OptionalLong.empty();

		private double ownShare;

		private long shareComputedAt = Long.MIN_VALUE / 2;

		private double perMilli;

		private PermitBucket permits;

		boolean isExpired(long now) {
			boolean isLifted = this.perSecond.isEmpty() && now - this.reportedAt > LIFTED_ANNOUNCE_MILLIS;
			return isLifted
					|| (this.unlistedAt.isPresent() && now - this.unlistedAt.getAsLong() > UNLISTED_RETENTION_MILLIS);
		}

		// The rate of all entries together.
		double allPerSecond() {
			return Math.max(MIN_PER_SECOND, USABLE_FRACTION * this.perSecond.orElse(0));
		}

		// Bounds the unused permits of all entries to the burst.
		double lifeMillis() {
			return (BURST_SECONDS + BURST_REQUESTS / allPerSecond()) * MILLIS_PER_SECOND;
		}

	}

}
