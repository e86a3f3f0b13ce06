package dev.laneworks.entry.direct;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Supplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.ingress.IngressAdmission;
import dev.laneworks.core.ingress.IngressLoad;
import dev.laneworks.core.ingress.LoopDelay;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.verdict.Refusal;

/**
 * Refusal of new requests while the event loop is slow, with the periodic probes that
 * measure its delay. Used on the I/O thread alone.
 */
final class IngressGate {

	/**
	 * Interval of the probes; well below a quarter of the shortest goal in use, which is
	 * about 30 ms.
	 */
	private static final long PROBE_INTERVAL_MILLIS = 20;

	private final EventLoop loop;

	private final Supplier<IngressLoad> load;

	private final LoopDelay delay = new LoopDelay();

	private final IngressAdmission admission;

	private final Counter refused;

	/** The delay as of the last probe, for readers on other threads. */
	private volatile double delayMillis;

	private IngressGate(double maxDelayShare, EventLoop loop, Supplier<IngressLoad> load, MetricRegistry metrics) {
		this.loop = loop;
		this.load = load;
		this.admission = new IngressAdmission(maxDelayShare, this.delay);
		this.refused = metrics.counter("laneworks_ingress_refused");
		metrics.register("laneworks_event_loop_delay_millis", (Gauge<Double>) () -> this.delayMillis);
	}

	// Create a gate if the settings enable one.
	static Optional<IngressGate> create(OptionalDouble maxDelayShare, EventLoop loop, Supplier<IngressLoad> load,
			MetricRegistry metrics) {
		return maxDelayShare.isPresent()
				? Optional.of(new IngressGate(maxDelayShare.getAsDouble(), loop, load, metrics)) : Optional.empty();
	}

	// Start the probes.
	void start() {
		probe();
	}

	Optional<Refusal> refuse(RouteSpec route) {
		Optional<Refusal> refusal = this.admission.refuse(route.goalMillis(), this.load.get(), this.loop.now());
		refusal.ifPresent((r) -> this.refused.inc());
		return refusal;
	}

	private void probe() {
		long now = this.loop.now();
		this.admission.recordProbe(now, now + PROBE_INTERVAL_MILLIS);
		this.delayMillis = this.delay.millis(now);
		this.loop.runInOwnTurn(this::probe, PROBE_INTERVAL_MILLIS);
	}

}
