package dev.laneworks.entry.direct;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.Dispatcher;
import dev.laneworks.core.dispatch.TargetChooser;
import dev.laneworks.core.dispatch.TargetEstimates;

/**
 * Metrics of the speed of targets and of requests sent to other data centres. Collected
 * on the I/O thread, read on others.
 */
final class SpeedMetrics {

	private static final int SLOWEST = 3;

	private volatile List<SlowTarget> slowest = List.of();

	private volatile long malformedLoads;

	private volatile long sentElsewhere;

	void register(MetricRegistry metrics) {
		for (int i = 0; i < SLOWEST; i++) {
			int rank = i;
			metrics.register("laneworks_target_slowness_" + (i + 1), (Gauge<Double>) () -> slowness(rank));
		}
		metrics.register("laneworks_load_headers_malformed", (Gauge<Long>) () -> this.malformedLoads);
		metrics.register("laneworks_requests_sent_elsewhere", (Gauge<Long>) () -> this.sentElsewhere);
	}

	void collect(TargetEstimates estimates, Dispatcher dispatcher, TargetChooser chooser, long now) {
		this.slowest = estimates.slowest(SLOWEST, now)
			.stream()
			.map((e) -> new SlowTarget(e.target(), e.speed().factor(now)))
			.toList();
		this.malformedLoads = dispatcher.malformedLoads();
		this.sentElsewhere = chooser.sentElsewhere();
	}

	// Return the slowness of the slowest targets by their ids.
	Map<String, Double> slowest() {
		Map<String, Double> byId = new TreeMap<>();
		this.slowest.forEach((t) -> byId.put(t.target().id(), t.slowness()));
		return byId;
	}

	// 0 if fewer targets report their slowness.
	private double slowness(int rank) {
		List<SlowTarget> current = this.slowest;
		return (rank < current.size()) ? current.get(rank).slowness() : 0;
	}

	/**
	 * A target that reports its slowness.
	 *
	 * @param target the target
	 * @param slowness the time that work takes there relative to the usual time
	 */
	private record SlowTarget(ListedTarget target, double slowness) {

	}

}
