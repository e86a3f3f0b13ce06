package dev.laneworks.core.dispatch;

import java.util.Optional;

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

	private int inFlight;

	private long ownTokens;

	private int othersRunning;

	private int waiting;

	private long loadAt = Long.MIN_VALUE / 2;

	private Optional<EngineReport> report = Optional.empty();

	private long reportAt = Long.MIN_VALUE / 2;

	private long ownTokensAtReport;

	private long fullUntil;

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
	 * Record that a request is on its way to the target, or memory is taken for a copy.
	 * @param tokens the engine memory that it is expected to hold; 0 at a plain service
	 */
	public void began(long tokens) {
		this.inFlight++;
		this.ownTokens += tokens;
	}

	/**
	 * Record that a request is not at the target any more.
	 * @param tokens what was given when it began
	 */
	public void ended(long tokens) {
		this.inFlight = Math.max(0, this.inFlight - 1);
		this.ownTokens = Math.max(0, this.ownTokens - tokens);
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
	 * Take an engine's report of its memory.
	 * @param fresh the report
	 * @param now the time in milliseconds
	 */
	public void reported(EngineReport fresh, long now) {
		this.report = Optional.of(fresh);
		this.reportAt = now;
		this.ownTokensAtReport = this.ownTokens;
		this.waiting = fresh.waiting();
		this.loadAt = now;
	}

	/**
	 * Record that the target refused a request because it is full.
	 * @param until until when others are preferred, in milliseconds
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
	 * Return how many requests are believed to be at the target, those of others
	 * included.
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public double load(long now) {
		return this.inFlight + this.othersRunning * fading(now - this.loadAt);
	}

	/**
	 * Return how many requests are believed to wait at the target.
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public double waiting(long now) {
		return this.waiting * fading(now - this.loadAt);
	}

	/**
	 * Return the engine memory that is believed to be in use.
	 * @param tokensOfOthers what one request of another process holds on average
	 * @param now the time in milliseconds
	 * @return tokens
	 */
	public double usedTokens(double tokensOfOthers, long now) {
		if (this.report.isPresent()) {
			double others = Math.max(0, this.report.get().usedTokens() - this.ownTokensAtReport);
			return this.ownTokens + others * fading(now - this.reportAt);
		}
		return this.ownTokens + this.othersRunning * tokensOfOthers * fading(now - this.loadAt);
	}

	private static double fading(long age) {
		return (age <= FRESH_MILLIS) ? 1 : Math.max(0, (double) FRESH_MILLIS / age);
	}

}
