package dev.laneworks.entry.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.waiting.WaitingCount;

/**
 * Gauge values of the generations of one priority that wait for engine memory.
 *
 * @param requests the count
 * @param oldestMillis the age of the oldest in milliseconds
 */
record WaitingGauge(int requests, long oldestMillis) {

	/** Priority that has a gauge in common with all lower ones. */
	private static final int LOWEST_PRIORITY = 9;

	private static final WaitingGauge NONE = new WaitingGauge(0, 0);

	static Map<Integer, WaitingGauge> of(Map<Integer, WaitingCount> counts, long now) {
		Map<Integer, WaitingCount> merged = new HashMap<>();
		counts.forEach((p, c) -> merged.merge(Math.min(LOWEST_PRIORITY, p), c, WaitingCount::plus));
		return merged.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey,
					(e) -> new WaitingGauge(e.getValue().requests(), now - e.getValue().oldestArrivedAt())));
	}

	static void register(MetricRegistry metrics, Supplier<Map<Integer, WaitingGauge>> latest) {
		for (int i = 0; i <= LOWEST_PRIORITY; i++) {
			int priority = i;
			metrics.register("laneworks_waiting_requests_priority_" + i,
					(Gauge<Integer>) () -> latest.get().getOrDefault(priority, NONE).requests());
			metrics.register("laneworks_waiting_oldest_millis_priority_" + i,
					(Gauge<Long>) () -> latest.get().getOrDefault(priority, NONE).oldestMillis());
		}
	}

}
