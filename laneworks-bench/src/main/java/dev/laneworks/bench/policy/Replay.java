package dev.laneworks.bench.policy;

import java.util.function.Function;

import dev.laneworks.standin.engine.EngineListener;
import dev.laneworks.standin.engine.EngineModel;
import dev.laneworks.standin.engine.EngineRequest;
import dev.laneworks.standin.engine.EngineSettings;
import dev.laneworks.standin.engine.PrefixCache;

/**
 * Replay of a trace through a policy over models of engines, in virtual time.
 */
final class Replay {

	private static final long TICK_MILLIS = 20;

	private static final int MAX_BATCH = 128;

	private final GeneratedTrace trace;

	private final PolicyMetrics metrics = new PolicyMetrics();

	private final EngineModel[] engines;

	private Policy policy;

	Replay(GeneratedTrace trace) {
		this.trace = trace;
		this.engines = new EngineModel[trace.engines()];
		EngineSettings base = EngineSettings.defaults();
		EngineSettings settings = new EngineSettings(trace.capacityTokens(), MAX_BATCH, base.stepMicros(),
				base.stepMicrosPerSequence(), base.prefillMicrosPerToken(), base.prefillTokensPerStep(), 0, 1, 0, 0, 0,
				0, false, 1);
		for (int i = 0; i < this.engines.length; i++) {
			this.engines[i] = new EngineModel(settings, new PrefixCache(0, (h, s) -> {
			}), new Listener(i));
		}
	}

	GeneratedTrace trace() {
		return this.trace;
	}

	PolicyMetrics metrics() {
		return this.metrics;
	}

	int engineCount() {
		return this.engines.length;
	}

	EngineModel engine(int index) {
		return this.engines[index];
	}

	// Submit a request to an engine without delay.
	void start(int engine, int number, Arrival arrival, long nowMillis) {
		EngineRequest request = new EngineRequest(String.valueOf(number), arrival.promptTokens(), 0, 0,
				arrival.priority(), arrival.length(), Integer.MAX_VALUE);
		this.engines[engine].submit(request, nowMillis * 1000);
	}

	PolicyMetrics run(Function<Replay, Policy> factory) {
		this.policy = factory.apply(this);
		int nextArrival = 0;
		for (long now = 0; now < this.trace.horizonMillis(); now += TICK_MILLIS) {
			while (nextArrival < this.trace.arrivals().size()
					&& this.trace.arrivals().get(nextArrival).atMillis() <= now) {
				Arrival arrival = this.trace.arrivals().get(nextArrival);
				this.metrics.recordArrival(nextArrival, arrival);
				this.policy.handleArrival(nextArrival, arrival, now);
				nextArrival++;
			}
			this.policy.tick(now);
			stepAll((now + TICK_MILLIS) * 1000);
		}
		return this.metrics.recordStalls(this.trace.horizonMillis() * 1000);
	}

	private void stepAll(long untilMicros) {
		for (EngineModel engine : this.engines) {
			while (engine.stepEndsAt().filter((t) -> t < untilMicros).isPresent()) {
				engine.step();
			}
		}
	}

	/**
	 * Listener for the events of one engine that updates the metrics and notifies the
	 * policy.
	 */
	private final class Listener implements EngineListener {

		private final int engine;

		Listener(int engine) {
			this.engine = engine;
		}

		@Override
		public void onToken(String name, int offset, long atMicros) {
			int number = Integer.parseInt(name);
			Replay.this.metrics.recordToken(number, atMicros);
			Replay.this.policy.handleToken(this.engine, number, offset, atMicros / 1000);
		}

		@Override
		public void onEnd(String name, int tokenCount, boolean limitReached, long atMicros) {
			Replay.this.policy.handleEnd(this.engine, Integer.parseInt(name), tokenCount, atMicros / 1000);
		}

		@Override
		public void onPreempted(String name, long atMicros) {
			Replay.this.metrics.recordPreemption();
		}

	}

}
