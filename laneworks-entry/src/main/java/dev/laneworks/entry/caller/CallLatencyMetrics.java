package dev.laneworks.entry.caller;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;

/**
 * Latency histograms of callers' streams: time to first token, time between tokens and
 * stall time.
 *
 * @since 0.1
 */
public final class CallLatencyMetrics {

	/** A longer gap between tokens counts as a stall. */
	private static final long STALL_MICROS = 250_000;

	private final Histogram firstToken;

	private final Histogram betweenTokens;

	private final Histogram stallTime;

	/**
	 * Register the histograms, in microseconds.
	 * @param metrics the registry of the process
	 */
	public CallLatencyMetrics(MetricRegistry metrics) {
		this.firstToken = metrics.histogram("laneworks_first_token_micros");
		this.betweenTokens = metrics.histogram("laneworks_between_tokens_micros");
		this.stallTime = metrics.histogram("laneworks_stall_micros");
	}

	/**
	 * Start to measure a call.
	 * @return a running stopwatch
	 */
	public Stopwatch start() {
		return new Stopwatch();
	}

	/**
	 * Measures one call. Not thread-safe.
	 */
	public final class Stopwatch {

		private long lastNanos = System.nanoTime();

		private long stalledMicros;

		private boolean awaitingFirstToken = true;

		/**
		 * Record the delivery of a chunk of output.
		 */
		public void recordToken() {
			long now = System.nanoTime();
			long micros = TimeUnit.NANOSECONDS.toMicros(now - this.lastNanos);
			this.lastNanos = now;
			if (this.awaitingFirstToken) {
				this.awaitingFirstToken = false;
				CallLatencyMetrics.this.firstToken.update(micros);
				return;
			}
			CallLatencyMetrics.this.betweenTokens.update(micros);
			if (micros > STALL_MICROS) {
				this.stalledMicros += micros;
			}
		}

		/**
		 * Record the end of the call.
		 */
		public void recordEnd() {
			if (!this.awaitingFirstToken) {
				CallLatencyMetrics.this.stallTime.update(this.stalledMicros);
			}
		}

	}

}
