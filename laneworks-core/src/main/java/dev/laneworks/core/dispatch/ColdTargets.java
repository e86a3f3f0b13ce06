package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.ToDoubleFunction;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Rate limit on the requests that this entry sends to cold targets, as its share of a
 * limit over all entries without a shared counter.
 * <p>
 * A cold target fails at well above the rate that it advertises. All requests count:
 * first attempts, retries and resumptions at a copy. If the limit is large, every entry
 * has the same share of it. If it is smaller than the number of entries, only the first
 * entries by rank may send, one request each, so that a small limit is neither exceeded
 * nor left unused. Not thread-safe.
 *
 * @since 0.3
 */
public final class ColdTargets {

	/**
	 * The window in which requests are counted. It is longer than the second that the
	 * limit covers because requests on new connections arrive up to a round trip and a
	 * handshake later than those on open ones.
	 */
	private static final long WINDOW_MILLIS = 1_200;

	/**
	 * The share of the limit that all entries use together. The rest covers entries that
	 * joined or left within the last heartbeat and processes that restarted without their
	 * counts.
	 */
	private static final double USED_SHARE = 0.7;

	/**
	 * The lowest number of entries to share the limit with; protects against entries that
	 * are partitioned or have just started and see no others.
	 */
	private static final int MIN_ENTRIES = 5;

	/** The longest accepted cold time; longer reports are ignored as invalid. */
	private static final long MAX_COLD_MILLIS = 600_000;

	private final ColdRateLimit limit;

	private final EntryRanks entries;

	private final ToDoubleFunction<String> coldPerSecond;

	private final AuditSink audit;

	private final Map<TargetIncarnation, ColdTarget> byIncarnation = new HashMap<>();

	/**
	 * Create the limits, with no target cold.
	 * @param limit the rate that all entries together may send
	 * @param entries the number of entries and the rank of this one
	 * @param coldPerSecond the requests per second that a cold target of a service
	 * supports; 0 if unknown, for no limit
	 * @param audit the receiver of events about cold targets
	 */
	public ColdTargets(ColdRateLimit limit, EntryRanks entries, ToDoubleFunction<String> coldPerSecond,
			AuditSink audit) {
		this.limit = Objects.requireNonNull(limit, "limit must not be null");
		this.entries = Objects.requireNonNull(entries, "entries must not be null");
		this.coldPerSecond = Objects.requireNonNull(coldPerSecond, "coldPerSecond must not be null");
		this.audit = Objects.requireNonNull(audit, "audit must not be null");
	}

	/**
	 * Record the remaining time for which a target reports that it is cold. An invalid
	 * time is logged and ignored.
	 * @param target the reporting target
	 * @param millis the remaining time in milliseconds; 0 if the target is warm
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordCold(ListedTarget target, long millis, long now) {
		if (millis < 0 || millis > MAX_COLD_MILLIS) {
			record(target, "reported an invalid cold time of " + millis + " ms; ignored");
			return;
		}
		if (millis == 0) {
			this.byIncarnation.remove(target.incarnation());
			return;
		}
		ColdTarget state = this.byIncarnation.computeIfAbsent(target.incarnation(), (incarnation) -> new ColdTarget());
		if (now >= state.until) {
			record(target, "cold for " + millis + " ms, limited to "
					+ this.limit.requests(this.coldPerSecond.applyAsDouble(target.service())) + " requests a second");
		}
		state.until = now + millis;
	}

	/**
	 * Determine whether one more request may be sent to a target now.
	 * @param target the target to check
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} unless the target is cold and the share of this entry is used
	 * up
	 */
	public boolean accepts(ListedTarget target, long now) {
		return waitMillis(target, now) <= 0;
	}

	/**
	 * Return the delay until a target accepts one more request from this entry.
	 * @param target the target to check
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the delay in milliseconds; 0 if it accepts one now
	 */
	public long waitMillis(ListedTarget target, long now) {
		ColdTarget cold = this.byIncarnation.get(target.incarnation());
		double perSecond = this.coldPerSecond.applyAsDouble(target.service());
		if (cold == null || now >= cold.until || perSecond <= 0) {
			return 0;
		}
		cold.removeUntil(now - WINDOW_MILLIS);
		int share = share(target, perSecond);
		if (cold.sent.size() < share) {
			return 0;
		}
		long coldForMillis = cold.until - now;
		return (share == 0) ? coldForMillis : Math.min(coldForMillis, cold.sent.peekFirst() + WINDOW_MILLIS - now);
	}

	/**
	 * Record that a request is sent to a target.
	 * @param target the receiving target
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordSent(ListedTarget target, long now) {
		ColdTarget cold = this.byIncarnation.get(target.incarnation());
		if (cold != null && now < cold.until) {
			cold.sent.add(now);
		}
	}

	/**
	 * Remove the state of a target that is no longer listed.
	 * @param target the removed target
	 */
	public void forget(ListedTarget target) {
		this.byIncarnation.remove(target.incarnation());
	}

	/**
	 * Determine whether no target has a recorded cold time.
	 * @return {@code true} if no target is limited; {@code false} may include expired
	 * times
	 */
	public boolean isEmpty() {
		return this.byIncarnation.isEmpty();
	}

	/**
	 * Return the number of cold targets.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of targets whose cold time has not expired
	 */
	public long count(long now) {
		return this.byIncarnation.values().stream().filter((c) -> now < c.until).count();
	}

	private int share(ListedTarget target, double perSecond) {
		double usable = USED_SHARE * this.limit.requests(perSecond);
		int sharing = Math.max(MIN_ENTRIES, this.entries.entries());
		if (usable >= sharing) {
			return (int) (usable / sharing);
		}
		return (this.entries.rankFor(target.id()) < (int) usable) ? 1 : 0;
	}

	private void record(ListedTarget target, String cause) {
		this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, target.id(), target.id(), cause));
	}

	private static final class ColdTarget {

		private final Deque<Long> sent = new ArrayDeque<>();

		private long until = Long.MIN_VALUE / 2;

		void removeUntil(long time) {
			while (!this.sent.isEmpty() && this.sent.peekFirst() <= time) {
				this.sent.removeFirst();
			}
		}

	}

}
