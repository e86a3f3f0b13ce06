package dev.laneworks.core.dispatch;

import java.util.OptionalLong;

import dev.laneworks.core.directory.ListedTarget;

/**
 * What this process believes of one target: what it has sent there itself, and what the
 * target told last. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetBelief {

	/**
	 * How long what a target told of the requests of others is held for true, in
	 * milliseconds; afterwards it counts for less and less.
	 */
	private static final long FRESH_MILLIS = 1_000;

	private final TargetQuality quality = new TargetQuality();

	private ListedTarget target;

	private boolean gone;

	private OptionalLong leavingSince = OptionalLong.empty();

	private int inFlight;

	private long ownTokens;

	private long ownUnread;

	private int toMove;

	private int copies;

	private int othersRunning;

	private int waiting;

	private long loadAt = Long.MIN_VALUE / 2;

	private long fullUntil;

	private int refused;

	private boolean saidLeaving;

	private final RefusalDoubt doubt = new RefusalDoubt();

	/**
	 * Create a belief in which nothing is known.
	 * @param target the target
	 */
	public TargetBelief(ListedTarget target) {
		this.target = target;
	}

	/**
	 * Return the target.
	 * @return the target as it was listed last
	 */
	public ListedTarget target() {
		return this.target;
	}

	/**
	 * Take the target's new entry.
	 * @param listed the entry
	 */
	public void listed(ListedTarget listed) {
		this.target = listed;
		this.gone = false;
		this.leavingSince = OptionalLong.empty();
	}

	/**
	 * Return the connections of this process that the target refused.
	 * @return the count since one came up last
	 */
	public int refused() {
		return this.refused;
	}

	/**
	 * Return whether the target itself said to this process that it is leaving.
	 * @return whether others are to be told
	 */
	public boolean hasSaidLeaving() {
		return this.saidLeaving;
	}

	void saidLeaving() {
		this.saidLeaving = true;
	}

	// A connection was refused.
	void connectionRefused() {
		this.refused++;
	}

	// A connection came up.
	void connected() {
		this.refused = 0;
	}

	RefusalDoubt doubt() {
		return this.doubt;
	}

	/**
	 * Record that the target is not listed any more.
	 */
	public void gone() {
		this.gone = true;
	}

	/**
	 * Return whether the target is not listed any more.
	 * @return whether it is gone
	 */
	public boolean isGone() {
		return this.gone;
	}

	/**
	 * Record that the target is leaving, unless that is known.
	 * @param now the time in milliseconds
	 */
	public void leaving(long now) {
		if (this.leavingSince.isEmpty()) {
			this.leavingSince = OptionalLong.of(now);
		}
	}

	/**
	 * Return when the target's leaving was heard.
	 * @return the time in milliseconds, or empty if it is not leaving as far as is known
	 */
	public OptionalLong leavingSince() {
		return this.leavingSince;
	}

	/**
	 * Return how well the target has answered.
	 * @return the quality
	 */
	public TargetQuality quality() {
		return this.quality;
	}

	/**
	 * Return the requests of this process that are at the target.
	 * @return the count
	 */
	public int inFlight() {
		return this.inFlight;
	}

	/**
	 * Return the engine memory that this process's requests are expected to hold.
	 * @return tokens
	 */
	public long ownTokens() {
		return this.ownTokens;
	}

	/**
	 * Return the tokens of prompts that this process sent and that are not read yet.
	 * @return tokens
	 */
	public long ownUnread() {
		return this.ownUnread;
	}

	/**
	 * Record that a request is on its way to the target.
	 */
	public void began() {
		this.inFlight++;
	}

	/**
	 * Record that a request is not at the target any more.
	 */
	public void ended() {
		this.inFlight--;
	}

	/**
	 * Record that engine memory is held or given back.
	 * @param tokens the tokens; negative where they are given back
	 */
	public void held(long tokens) {
		this.ownTokens += tokens;
	}

	/**
	 * Return how many generations of this process are to be moved away.
	 * @return the count
	 */
	public int toMove() {
		return this.toMove;
	}

	/**
	 * Record that a generation is to be moved away, or that it was or need not be.
	 * @param change 1 or -1
	 */
	public void toMove(int change) {
		this.toMove += change;
	}

	/**
	 * Return whether this process copies a generation from or to the target now.
	 * @return whether a copy is under way
	 */
	public boolean isCopying() {
		return this.copies > 0;
	}

	/**
	 * Record that a copy from or to the target begins or is over.
	 * @param change 1 or -1
	 */
	public void copying(int change) {
		this.copies += change;
	}

	/**
	 * Record that a prompt is to be read, or was.
	 * @param tokens the tokens; negative once they are read
	 */
	public void unread(long tokens) {
		this.ownUnread += tokens;
	}

	/**
	 * Take what the target tells beside an answer.
	 * @param load the load
	 * @param now the time in milliseconds
	 */
	public void told(TargetLoad load, long now) {
		this.waiting = load.waiting();
		this.othersRunning = Math.max(0, load.running() + load.waiting() - this.inFlight);
		this.loadAt = now;
	}

	/**
	 * Record that the target refused a request because it is full.
	 * @param until the time up to which others are preferred, in milliseconds
	 */
	public void full(long until) {
		this.fullUntil = Math.max(this.fullUntil, until);
	}

	/**
	 * Return whether the target refused a request a moment ago because it is full.
	 * @param now the time in milliseconds
	 * @return whether others are preferred
	 */
	public boolean isFull(long now) {
		return now < this.fullUntil;
	}

	/**
	 * Return how many requests of others are believed to be at the target, by what it
	 * told itself.
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public double othersTold(long now) {
		return this.othersRunning * fading(now - this.loadAt);
	}

	/**
	 * Return how many requests are believed to wait at the target.
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public double waiting(long now) {
		return this.waiting * fading(now - this.loadAt);
	}

	private static double fading(long age) {
		return (age <= FRESH_MILLIS) ? 1 : Math.max(0, (double) FRESH_MILLIS / age);
	}

}
