package dev.laneworks.core.dispatch;

import java.util.OptionalLong;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.speed.TargetSpeed;

/**
 * Recorded state of one target incarnation: this process's own work there and the
 * target's latest reports. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetEstimate {

	/**
	 * Age in milliseconds up to which a load report counts fully; older reports decay.
	 */
	private static final long LOAD_FRESH_MILLIS = 1_000;

	private final TargetQuality quality = new TargetQuality();

	private final TargetSpeed speed = new TargetSpeed();

	private ListedTarget target;

	private boolean removed;

	private OptionalLong drainingSince = OptionalLong.empty();

	private int inFlight;

	private long reservedTokens;

	private long pendingPromptTokens;

	private int pendingMoves;

	private int copies;

	private int othersRunning;

	private int waiting;

	private long loadReportedAt = Long.MIN_VALUE / 2;

	private long fullUntil;

	private int refused;

	private boolean announcedDraining;

	private final UnreachableDetector unreachableDetector = new UnreachableDetector();

	/**
	 * Create a state without any recorded work.
	 * @param target the target as currently listed
	 */
	public TargetEstimate(ListedTarget target) {
		this.target = target;
	}

	/**
	 * Return the target as it was listed last.
	 * @return the most recent list entry
	 */
	public ListedTarget target() {
		return this.target;
	}

	/**
	 * Record the target's new list entry, which ends its removal or draining.
	 * @param listed the new list entry
	 */
	public void recordListed(ListedTarget listed) {
		this.target = listed;
		this.removed = false;
		this.drainingSince = OptionalLong.empty();
	}

	/**
	 * Return the number of consecutive refused connections of this process.
	 * @return the count since the last established connection
	 */
	public int refused() {
		return this.refused;
	}

	/**
	 * Determine whether the target announced its draining to this process itself.
	 * @return {@code true} if other entries must be notified
	 */
	public boolean hasAnnouncedDraining() {
		return this.announcedDraining;
	}

	void recordAnnouncedDraining() {
		this.announcedDraining = true;
	}

	void connectionRefused() {
		this.refused++;
	}

	void connected() {
		this.refused = 0;
	}

	UnreachableDetector unreachableDetector() {
		return this.unreachableDetector;
	}

	/** Record that the target is no longer listed. */
	public void markRemoved() {
		this.removed = true;
	}

	/**
	 * Determine whether the target is no longer listed.
	 * @return {@code true} if it was removed from the list
	 */
	public boolean isRemoved() {
		return this.removed;
	}

	/**
	 * Record that the target is draining. Later calls do not change the start time.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void markDraining(long now) {
		if (this.drainingSince.isEmpty()) {
			this.drainingSince = OptionalLong.of(now);
		}
	}

	/**
	 * Return when the target was first seen draining.
	 * @return the time in milliseconds of the monotonic clock, or empty if the target is
	 * not draining
	 */
	public OptionalLong drainingSince() {
		return this.drainingSince;
	}

	/**
	 * Return the recent response quality of the target.
	 * @return the response statistics, used for outlier ejection
	 */
	public TargetQuality quality() {
		return this.quality;
	}

	/**
	 * Return the processing speed of the target.
	 * @return the speed, as reported and as learned from answers
	 */
	public TargetSpeed speed() {
		return this.speed;
	}

	/**
	 * Return the number of this process's requests at the target.
	 * @return the count of requests in flight
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Return the engine memory reserved for this process's requests.
	 * @return the reserved memory in tokens
	 */
	public long reservedTokens() {
		return this.reservedTokens;
	}

	/**
	 * Return the prompt tokens that this process sent and that the target has not read
	 * yet.
	 * @return the number of tokens
	 */
	public long pendingPromptTokens() {
		return this.pendingPromptTokens;
	}

	/** Record that a request was sent to the target. */
	public void requestStarted() {
		this.inFlight++;
	}

	/** Record that a request at the target ended. */
	public void requestEnded() {
		this.inFlight--;
	}

	/**
	 * Reserve or release engine memory.
	 * @param tokens the number of tokens; negative to release
	 */
	public void addReservedTokens(long tokens) {
		this.reservedTokens += tokens;
	}

	/**
	 * Return how many generations of this process are pending to be moved away.
	 * @return the count of pending moves
	 */
	public int pendingMoves() {
		return this.pendingMoves;
	}

	/**
	 * Record a change in the number of pending moves.
	 * @param change 1 to add a pending move, -1 to remove one
	 */
	public void addPendingMoves(int change) {
		this.pendingMoves += change;
	}

	/**
	 * Determine whether this process is copying a generation from or to the target.
	 * @return {@code true} if a copy is in progress
	 */
	public boolean isCopying() {
		return this.copies > 0;
	}

	/**
	 * Record that a copy from or to the target starts or ends.
	 * @param change 1 at the start, -1 at the end
	 */
	public void addCopies(int change) {
		this.copies += change;
	}

	/**
	 * Record prompt tokens that are sent or read.
	 * @param tokens the number of tokens; negative once they are read
	 */
	public void addPendingPromptTokens(long tokens) {
		this.pendingPromptTokens += tokens;
	}

	/**
	 * Record the load report in a response of the target.
	 * @param load the reported load
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordLoad(TargetLoad load, long now) {
		this.waiting = load.waiting();
		this.othersRunning = Math.max(0, load.running() + load.waiting() - this.inFlight);
		this.loadReportedAt = now;
		load.slowness().ifPresent((s) -> this.speed.recordReport(s, now));
	}

	/**
	 * Record that the target rejected a request because it is full.
	 * @param until the time until which other targets are preferred, in milliseconds of
	 * the monotonic clock
	 */
	public void markFull(long until) {
		this.fullUntil = Math.max(this.fullUntil, until);
	}

	/**
	 * Determine whether the target recently rejected a request because it is full.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if other targets are preferred
	 */
	public boolean isFull(long now) {
		return now < this.fullUntil;
	}

	/**
	 * Estimate how many requests of other processes are at the target, from its last load
	 * report.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the count, which decays as the report ages
	 */
	public double requestsOfOthers(long now) {
		return this.othersRunning * decay(now - this.loadReportedAt);
	}

	/**
	 * Estimate how many requests are queued at the target, from its last load report.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the count, which decays as the report ages
	 */
	public double waiting(long now) {
		return this.waiting * decay(now - this.loadReportedAt);
	}

	private static double decay(long age) {
		return (age <= LOAD_FRESH_MILLIS) ? 1 : Math.max(0, (double) LOAD_FRESH_MILLIS / age);
	}

}
