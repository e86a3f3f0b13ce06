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
import dev.laneworks.core.directory.TargetRun;

/**
 * Bounds by rate what this entry sends to targets that are cold, as its part of what all
 * entries may send together, without a shared counter.
 * <p>
 * A cold target falls over at well above what it is said to bear. All requests count, be
 * they first ones, repeated ones or ones that go on at a copy. Where the bound is large
 * each entry has the same part of it; where it is smaller than the number of entries only
 * the first ones by rank may send, one request each, so that a small bound is neither
 * exceeded nor left unused. Not thread-safe.
 *
 * @since 0.3
 */
public final class ColdTargets {

	/**
	 * The window in which this entry's requests are counted, in milliseconds. The bound
	 * is on arrivals in a second, and requests on new connections arrive later than those
	 * on open ones by up to a round trip and a handshake.
	 */
	private static final long WINDOW_MILLIS = 1_200;

	/**
	 * The part of the bound that the entries use together: entries that come or go are
	 * known to the others up to a heartbeat later, and a process that starts anew does
	 * not know what the one before it sent.
	 */
	private static final double TOGETHER = 0.7;

	/**
	 * The entries that there are taken to be at the least, since one that is cut off or
	 * has just started knows of no other.
	 */
	private static final int FEWEST_ENTRIES = 5;

	/**
	 * The longest time for which a target is believed to be cold, in milliseconds; what
	 * is told beyond is taken for an error.
	 */
	private static final long MOST_COLD_MILLIS = 600_000;

	private final ColdBound bound;

	private final EntryRanks entries;

	private final ToDoubleFunction<String> coldPerSecond;

	private final AuditSink audit;

	private final Map<TargetRun, ColdTarget> byRun = new HashMap<>();

	/**
	 * Create a bound; no target is cold.
	 * @param bound how far all entries may go together
	 * @param entries this entry's place among them
	 * @param coldPerSecond gives the requests a second that a cold target of a service
	 * bears; 0 where nothing is known, so that nothing is bounded
	 * @param audit hears of targets that are cold
	 */
	public ColdTargets(ColdBound bound, EntryRanks entries, ToDoubleFunction<String> coldPerSecond, AuditSink audit) {
		this.bound = Objects.requireNonNull(bound, "bound must not be null");
		this.entries = Objects.requireNonNull(entries, "entries must not be null");
		this.coldPerSecond = Objects.requireNonNull(coldPerSecond, "coldPerSecond must not be null");
		this.audit = Objects.requireNonNull(audit, "audit must not be null");
	}

	/**
	 * Take for how much longer a target says that it is cold. What can't be true is
	 * recorded and changes nothing.
	 * @param target the target
	 * @param millis the time in milliseconds; 0 where it is warm
	 * @param now the time in milliseconds
	 */
	public void told(ListedTarget target, long millis, long now) {
		if (millis < 0 || millis > MOST_COLD_MILLIS) {
			record(target, "tells a cold time that can't be: " + millis + " ms; passed over");
			return;
		}
		if (millis == 0) {
			this.byRun.remove(target.run());
			return;
		}
		ColdTarget known = this.byRun.computeIfAbsent(target.run(), (run) -> new ColdTarget());
		if (now >= known.until) {
			record(target, "cold for " + millis + " ms, takes "
					+ this.bound.requests(this.coldPerSecond.applyAsDouble(target.service())) + " requests a second");
		}
		known.until = now + millis;
	}

	/**
	 * Return whether one more request may be sent to a target now.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return {@code true} unless it is cold and this entry's part is used up
	 */
	public boolean takes(ListedTarget target, long now) {
		return freeInMillis(target, now) <= 0;
	}

	/**
	 * Return after which time a target takes one more request of this entry.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return milliseconds; 0 if it does now
	 */
	public long freeInMillis(ListedTarget target, long now) {
		ColdTarget cold = this.byRun.get(target.run());
		double perSecond = this.coldPerSecond.applyAsDouble(target.service());
		if (cold == null || now >= cold.until || perSecond <= 0) {
			return 0;
		}
		cold.forgetBefore(now - WINDOW_MILLIS);
		int part = part(target, perSecond);
		if (cold.sent.size() < part) {
			return 0;
		}
		long isWarmIn = cold.until - now;
		return (part == 0) ? isWarmIn : Math.min(isWarmIn, cold.sent.peekFirst() + WINDOW_MILLIS - now);
	}

	/**
	 * Record that a request is sent to a target.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	public void sent(ListedTarget target, long now) {
		ColdTarget cold = this.byRun.get(target.run());
		if (cold != null && now < cold.until) {
			cold.sent.add(now);
		}
	}

	/**
	 * Forget a target that is gone.
	 * @param target the target
	 */
	public void forget(ListedTarget target) {
		this.byRun.remove(target.run());
	}

	/**
	 * Return whether no target has told lately that it is cold.
	 * @return whether none is bounded
	 */
	public boolean isQuiet() {
		return this.byRun.isEmpty();
	}

	/**
	 * Return how many targets are cold.
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public long count(long now) {
		return this.byRun.values().stream().filter((c) -> now < c.until).count();
	}

	private int part(ListedTarget target, double perSecond) {
		double together = TOGETHER * this.bound.requests(perSecond);
		int sharing = Math.max(FEWEST_ENTRIES, this.entries.entries());
		if (together >= sharing) {
			return (int) (together / sharing);
		}
		return (this.entries.before(target.id()) < (int) together) ? 1 : 0;
	}

	private void record(ListedTarget target, String cause) {
		this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, target.id(), target.id(), cause));
	}

	private static final class ColdTarget {

		private final Deque<Long> sent = new ArrayDeque<>();

		private long until = Long.MIN_VALUE / 2;

		void forgetBefore(long time) {
			while (!this.sent.isEmpty() && this.sent.peekFirst() <= time) {
				this.sent.removeFirst();
			}
		}

	}

}
