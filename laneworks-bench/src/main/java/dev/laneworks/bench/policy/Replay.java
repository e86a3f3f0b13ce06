package dev.laneworks.bench.policy;

import java.util.function.Function;

import dev.laneworks.standin.engine.EngineListener;
import dev.laneworks.standin.engine.EngineModel;
import dev.laneworks.standin.engine.EngineRequest;
import dev.laneworks.standin.engine.EngineSettings;
import dev.laneworks.standin.engine.PrefixCache;

/**
 * Replays a trace through a policy over models of engines, in virtual time.
 */
final class Replay {

	private static final long TICK_MILLIS = 20;

	private static final int MAX_BATCH = 128;

	private final MadeTrace trace;

	private final Measured measured = new Measured();

	private final EngineModel[] engines;

	private Policy policy;

	Replay(MadeTrace trace) {
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

	MadeTrace trace() {
		return this.trace;
	}

	Measured measured() {
		return this.measured;
	}

	int engineCount() {
		return this.engines.length;
	}

	EngineModel engine(int index) {
		return this.engines[index];
	}

	// Starts a request at an engine at once.
	void start(int engine, int number, Arrival arrival, long nowMillis) {
		EngineRequest request = new EngineRequest(String.valueOf(number), arrival.promptTokens(), 0, 0,
				arrival.priority(), arrival.length(), Integer.MAX_VALUE);
		this.engines[engine].submit(request, nowMillis * 1000);
	}

	Measured run(Function<Replay, Policy> factory) {
		this.policy = factory.apply(this);
		int next = 0;
		for (long now = 0; now < this.trace.horizonMillis(); now += TICK_MILLIS) {
			while (next < this.trace.arrivals().size() && this.trace.arrivals().get(next).atMillis() <= now) {
				Arrival arrival = this.trace.arrivals().get(next);
				this.measured.arrived(next, arrival);
				this.policy.arrive(next, arrival, now);
				next++;
			}
			this.policy.tick(now);
			stepAll((now + TICK_MILLIS) * 1000);
		}
		return this.measured.close(this.trace.horizonMillis() * 1000);
	}

	private void stepAll(long untilMicros) {
		for (EngineModel engine : this.engines) {
			while (engine.stepEndsAt().filter((t) -> t < untilMicros).isPresent()) {
				engine.step();
			}
		}
	}

	/**
	 * Hears one engine.
	 */
	private final class Listener implements EngineListener {

		private final int engine;

		Listener(int engine) {
			this.engine = engine;
		}

		@Override
		public void onToken(String name, int offset, long atMicros) {
			int number = Integer.parseInt(name);
			Replay.this.measured.token(number, atMicros);
			Replay.this.policy.token(this.engine, number, offset, atMicros / 1000);
		}

		@Override
		public void onEnd(String name, int total, boolean byLimit, long atMicros) {
			Replay.this.policy.end(this.engine, Integer.parseInt(name), total, atMicros / 1000);
		}

		@Override
		public void onPreempted(String name, long atMicros) {
			Replay.this.measured.preempted();
		}

	}

}
