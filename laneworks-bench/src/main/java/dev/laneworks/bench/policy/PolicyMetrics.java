package dev.laneworks.bench.policy;

import java.util.HashMap;
import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * Metrics of one policy in the replay of one trace.
 */
final class PolicyMetrics {

	private static final long MAX_MICROS = 3_600_000_000L;

	private static final int SIGNIFICANT_DIGITS = 3;

	/** A longer interval between two tokens counts as a stall. */
	private static final long STALL_THRESHOLD_MICROS = 250_000;

	private final Histogram tokenIntervals = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

	private final Histogram firstTokens = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

	private final Histogram stallTimes = new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS);

	private final Map<Integer, Progress> requests = new HashMap<>();

	private final Map<String, Long> servedTokens = new HashMap<>();

	private final Map<String, Long> requestedTokens = new HashMap<>();

	private long totalTokens;

	private long refusalCount;

	private long preemptions;

	void recordArrival(int number, Arrival arrival) {
		this.requests.put(number, new Progress(arrival));
		this.requestedTokens.merge(arrival.account(), (long) arrival.length(), Long::sum);
	}

	void recordToken(int number, long atMicros) {
		Progress progress = this.requests.get(number);
		this.totalTokens++;
		this.servedTokens.merge(progress.arrival.account(), 1L, Long::sum);
		if (progress.lastMicros < 0) {
			if (progress.arrival.priority() > 0) {
				this.firstTokens.recordValue(clamp(atMicros - progress.arrival.atMillis() * 1000));
			}
		}
		else {
			long interval = clamp(atMicros - progress.lastMicros);
			this.tokenIntervals.recordValue(interval);
			if (interval > STALL_THRESHOLD_MICROS) {
				progress.stalledMicros += interval;
			}
		}
		progress.lastMicros = atMicros;
	}

	void recordRefusal() {
		this.refusalCount++;
	}

	void recordPreemption() {
		this.preemptions++;
	}

	// Record the total stall time of each request that received a token.
	PolicyMetrics recordStalls(long endMicros) {
		for (Progress progress : this.requests.values()) {
			if (progress.lastMicros >= 0) {
				this.stallTimes.recordValue(clamp(progress.stalledMicros));
			}
		}
		return this;
	}

	long preemptions() {
		return this.preemptions;
	}

	long refusals() {
		return this.refusalCount;
	}

	double stallSeconds(double percentile) {
		return this.stallTimes.getValueAtPercentile(percentile) / 1e6;
	}

	double tokenIntervalMillis(double percentile) {
		return this.tokenIntervals.getValueAtPercentile(percentile) / 1e3;
	}

	double firstTokenSeconds(double percentile) {
		return this.firstTokens.getValueAtPercentile(percentile) / 1e6;
	}

	double tokensPerSecond(long horizonMillis) {
		return this.totalTokens * 1000.0 / horizonMillis;
	}

	// Return the lowest ratio over all accounts between the tokens served and the
	// account's max-min fair share of all tokens served.
	double lowestFairShare() {
		double limit = fairLimit();
		double lowest = 1;
		for (Map.Entry<String, Long> entry : this.requestedTokens.entrySet()) {
			double fairShare = Math.min(entry.getValue(), limit);
			lowest = Math.min(lowest, this.servedTokens.getOrDefault(entry.getKey(), 0L) / fairShare);
		}
		return lowest;
	}

	// Find the max-min fair limit per account, at which the demands, each capped at the
	// limit, add up to all tokens served.
	private double fairLimit() {
		double low = 0;
		double high = this.requestedTokens.values().stream().mapToLong(Long::longValue).max().orElse(1);
		for (int i = 0; i < 60; i++) {
			double limit = (low + high) / 2;
			double sum = this.requestedTokens.values().stream().mapToDouble((t) -> Math.min(t, limit)).sum();
			if (sum > this.totalTokens) {
				high = limit;
			}
			else {
				low = limit;
			}
		}
		return low;
	}

	private static long clamp(long micros) {
		return Math.max(0, Math.min(MAX_MICROS, micros));
	}

	/**
	 * Progress of one request.
	 */
	private static final class Progress {

		private final Arrival arrival;

		private long lastMicros = -1;

		private long stalledMicros;

		Progress(Arrival arrival) {
			this.arrival = arrival;
		}

	}

}
