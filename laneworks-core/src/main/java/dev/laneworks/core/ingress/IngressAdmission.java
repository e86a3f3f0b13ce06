package dev.laneworks.core.ingress;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;

import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Decides whether an entry accepts a new request, from the delay of its own event loop.
 * <p>
 * A request is refused if the delay exceeds a share of its response-time goal, and
 * requests of that goal are accepted again once the delay is below half of that. An idle
 * entry accepts every request, since the delay is not due to its own work. Not
 * thread-safe.
 *
 * @since 0.4
 */
public final class IngressAdmission {

	/** Delay at which requests are accepted again, as a fraction of the refusing one. */
	private static final double READMISSION_FACTOR = 0.5;

	/**
	 * Short, since callers retry on a new connection, which leads to another entry.
	 */
	private static final Duration RETRY_DELAY = Duration.ofMillis(20);

	private final double maxDelayShare;

	private final LoopDelay delay;

	/** The delay with hysteresis: it follows a rise at once and a fall by halves. */
	private double heldDelay;

	/**
	 * Create an admission that has refused nothing yet.
	 * @param maxDelayShare the share of a goal that the delay may use up, above 0 and at
	 * most 1
	 * @param delay the delay of the entry's event loop
	 */
	public IngressAdmission(double maxDelayShare, LoopDelay delay) {
		if (!(maxDelayShare > 0 && maxDelayShare <= 1)) {
			throw new IllegalArgumentException("maxDelayShare must be above 0 and at most 1 but is " + maxDelayShare);
		}
		this.maxDelayShare = maxDelayShare;
		this.delay = delay;
	}

	/**
	 * Record that a probe of the event loop runs now.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @param nextProbeDue the time at which the next probe is due, in milliseconds of the
	 * monotonic clock
	 */
	public void recordProbe(long now, long nextProbeDue) {
		this.delay.recordProbe(now, nextProbeDue);
		hold(this.delay.millis(now));
	}

	/**
	 * Decide whether a new request is accepted.
	 * @param goalMillis the response-time goal of its route in milliseconds
	 * @param load the work that the entry has in progress
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the refusal, or empty if the request is accepted
	 */
	public Optional<Refusal> refuse(long goalMillis, IngressLoad load, long now) {
		double current = this.delay.millis(now);
		hold(current);
		double limit = this.maxDelayShare * goalMillis;
		if (goalMillis <= 0 || this.heldDelay <= limit || load.isIdle()) {
			return Optional.empty();
		}
		String detail = String.format(Locale.ROOT,
				"this entry's event loop delays an event by %.0f ms (measured %d ms ago, recently %.0f ms), "
						+ "more than %.0f ms of the goal of %d ms; %d open calls, %d bytes queued",
				current, this.delay.ageMillis(now), this.heldDelay, limit, goalMillis, load.openCalls(),
				load.queuedBytes());
		return Optional.of(Refusal.notRun(RefusalReason.OVERLOADED, detail, RETRY_DELAY));
	}

	private void hold(double current) {
		this.heldDelay = Math.max(current, Math.min(this.heldDelay, current / READMISSION_FACTOR));
	}

}
