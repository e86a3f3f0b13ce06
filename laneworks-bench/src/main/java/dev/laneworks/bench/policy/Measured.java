package dev.laneworks.bench.policy;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * What one policy made of one trace.
 */
final class Measured {

	private static final long HIGHEST_MICROS = 3_600_000_000L;

	private static final int DIGITS = 3;

	/** A gap longer than this counts as a stall. */
	private static final long STALL_MICROS = 250_000;

	private final Histogram gaps = new Histogram(HIGHEST_MICROS, DIGITS);

	private final Histogram firstTokens = new Histogram(HIGHEST_MICROS, DIGITS);

	private final Histogram stalls = new Histogram(HIGHEST_MICROS, DIGITS);

	private final Map<Integer, Stream> streams = new HashMap<>();

	private final Map<String, Long> served = new HashMap<>();

	private final Map<String, Long> wanted = new HashMap<>();

	private long tokens;

	private long refused;

	private long preemptions;

	void arrived(int number, Arrival arrival) {
		this.streams.put(number, new Stream(arrival));
		this.wanted.merge(arrival.account(), (long) arrival.length(), Long::sum);
	}

	void token(int number, long atMicros) {
		Stream stream = this.streams.get(number);
		this.tokens++;
		this.served.merge(stream.arrival.account(), 1L, Long::sum);
		if (stream.lastMicros < 0) {
			if (stream.arrival.priority() > 0) {
				this.firstTokens.recordValue(clamp(atMicros - stream.arrival.atMillis() * 1000));
			}
		}
		else {
			long gap = clamp(atMicros - stream.lastMicros);
			this.gaps.recordValue(gap);
			if (gap > STALL_MICROS) {
				stream.stalledMicros += gap;
			}
		}
		stream.lastMicros = atMicros;
	}

	void refused() {
		this.refused++;
	}

	void preempted() {
		this.preemptions++;
	}

	// Streams that still run at the end have stalled since their last token.
	Measured close(long endMicros) {
		for (Stream stream : this.streams.values()) {
			if (stream.lastMicros >= 0) {
				this.stalls.recordValue(clamp(stream.stalledMicros));
			}
		}
		return this;
	}

	long preemptions() {
		return this.preemptions;
	}

	long refusals() {
		return this.refused;
	}

	double stallSeconds(double percentile) {
		return this.stalls.getValueAtPercentile(percentile) / 1e6;
	}

	double gapMillis(double percentile) {
		return this.gaps.getValueAtPercentile(percentile) / 1e3;
	}

	double firstTokenSeconds(double percentile) {
		return this.firstTokens.getValueAtPercentile(percentile) / 1e6;
	}

	double tokensPerSecond(long horizonMillis) {
		return this.tokens * 1000.0 / horizonMillis;
	}

	// Return the least that any account got of what max-min fairness over all tokens
	// served would have given it.
	double worstShare() {
		double level = fairLevel();
		double worst = 1;
		for (Map.Entry<String, Long> entry : this.wanted.entrySet()) {
			double fair = Math.min(entry.getValue(), level);
			worst = Math.min(worst, this.served.getOrDefault(entry.getKey(), 0L) / fair);
		}
		return worst;
	}

	// The level at which giving each account the least of its wish and the level adds up
	// to all that was served.
	private double fairLevel() {
		double low = 0;
		double high = this.wanted.values().stream().mapToLong(Long::longValue).max().orElse(1);
		for (int i = 0; i < 60; i++) {
			double level = (low + high) / 2;
			double sum = this.wanted.values().stream().mapToDouble((w) -> Math.min(w, level)).sum();
			if (sum > this.tokens) {
				high = level;
			}
			else {
				low = level;
			}
		}
		return low;
	}

	private static long clamp(long micros) {
		return Math.max(0, Math.min(HIGHEST_MICROS, micros));
	}

	/**
	 * One request under way.
	 */
	private static final class Stream {

		private final Arrival arrival;

		private long lastMicros = -1;

		private long stalledMicros;

		Stream(Arrival arrival) {
			this.arrival = arrival;
		}

	}

}
