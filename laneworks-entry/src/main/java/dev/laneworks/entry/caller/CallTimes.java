package dev.laneworks.entry.caller;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/**
 * Measures what readers experience: time to the first token, time between tokens, and
 * stall time.
 *
 * @since 0.1
 */
public final class CallTimes {

	/** A gap longer than this counts as a stall. */
	private static final long STALL_MICROS = 250_000;

	private final Histogram firstToken;

	private final Histogram betweenTokens;

	private final Histogram stall;

	/**
	 * Create the histograms, in microseconds.
	 * @param metrics the process's metrics
	 */
	public CallTimes(MetricRegistry metrics) {
		this.firstToken = metrics.histogram("laneworks_first_token_micros");
		this.betweenTokens = metrics.histogram("laneworks_between_tokens_micros");
		this.stall = metrics.histogram("laneworks_stall_micros");
	}

	/**
	 * Start to measure a call.
	 * @return its stopwatch
	 */
	public Stopwatch start() {
		return new Stopwatch();
	}

	/**
	 * Measures one call. Used on one thread.
	 */
	public final class Stopwatch {

		private long lastNanos = System.nanoTime();

		private long stalledMicros;

		private boolean first = true;

		/**
		 * Record a piece of output.
		 */
		public void token() {
			long now = System.nanoTime();
			long micros = TimeUnit.NANOSECONDS.toMicros(now - this.lastNanos);
			this.lastNanos = now;
			if (this.first) {
				this.first = false;
				CallTimes.this.firstToken.update(micros);
				return;
			}
			CallTimes.this.betweenTokens.update(micros);
			if (micros > STALL_MICROS) {
				this.stalledMicros += micros;
			}
		}

		/**
		 * Record the end of the call.
		 */
		public void end() {
			if (!this.first) {
				CallTimes.this.stall.update(this.stalledMicros);
			}
		}

	}

}
