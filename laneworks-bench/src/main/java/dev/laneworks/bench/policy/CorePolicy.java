package dev.laneworks.bench.policy;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import dev.laneworks.core.admission.LengthClass;
import dev.laneworks.core.admission.LengthModel;
import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.configuration.ConfigurationParser;
import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.configuration.SpillRule;
import dev.laneworks.core.host.GenerationHost;
import dev.laneworks.core.host.HostOutputs;
import dev.laneworks.core.host.HostSettings;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.routing.DefaultTargetSelector;
import dev.laneworks.core.routing.RouteRequest;
import dev.laneworks.core.routing.TargetStates;
import dev.laneworks.core.routing.TargetSubset;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Policy that uses the core's target selector and generation hosts, with periodic load
 * reports.
 */
final class CorePolicy implements Policy {

	private static final byte[] TOKEN = { 't' };

	private static final long REPORT_INTERVAL_MILLIS = 200;

	private static final String MODEL = "m";

	private static final Intent INTENT = new Intent("*", MODEL, "", "1", 1, Optional.empty(), SpillRule.ANY, true);

	private final Replay replay;

	private final TargetStates states = new TargetStates();

	private final DefaultTargetSelector selector;

	private final GenerationHost[] hosts;

	private final boolean encodeLength;

	private final Set<Integer> retried = new HashSet<>();

	private long lastReportAt;

	private long now;

	CorePolicy(Replay replay, HostSettings settings, LengthModel lengths, boolean encodeLength) {
		this.replay = replay;
		this.encodeLength = encodeLength;
		this.selector = new DefaultTargetSelector(this.states, new TargetSubset("entry", "d", 1000, 0), "d",
				new SplittableRandom(5));
		this.selector.use(ConfigurationParser.parse("made", document(replay.engineCount())).get());
		this.hosts = new GenerationHost[replay.engineCount()];
		for (int i = 0; i < this.hosts.length; i++) {
			this.hosts[i] = new GenerationHost("t" + i, 1, settings, new KeyGuard("t" + i, 1, 0, new ViewHistory()),
					new ConfigurationHolder(), lengths, new Outputs(i), (e) -> {
					}, 0);
			this.states.state("t" + i).recordLinkUp(true);
		}
	}

	@Override
	public void handleArrival(int number, Arrival arrival, long nowMillis) {
		this.now = nowMillis;
		dispatch(number, arrival, Set.of());
	}

	@Override
	public void handleToken(int engine, int number, int offset, long nowMillis) {
		this.now = nowMillis;
		this.hosts[engine].onTargetChunk(generationName(number), offset, TOKEN, nowMillis);
	}

	@Override
	public void handleEnd(int engine, int number, int total, long nowMillis) {
		this.now = nowMillis;
		this.hosts[engine].onTargetEnd(generationName(number), total, FinishReason.STOP, nowMillis);
	}

	@Override
	public void tick(long nowMillis) {
		this.now = nowMillis;
		for (int i = 0; i < this.hosts.length; i++) {
			this.hosts[i].tick(nowMillis);
			if (nowMillis - this.lastReportAt >= REPORT_INTERVAL_MILLIS) {
				this.states.state("t" + i).recordReport(this.hosts[i].load(), nowMillis);
			}
		}
		if (nowMillis - this.lastReportAt >= REPORT_INTERVAL_MILLIS) {
			this.lastReportAt = nowMillis;
		}
	}

	private void dispatch(int number, Arrival arrival, Set<String> excluded) {
		var route = this.selector.select(new RouteRequest(MODEL, INTENT, 0, excluded), this.now);
		if (route.isEmpty()) {
			this.replay.metrics().recordRefusal();
			return;
		}
		String target = route.get().target().name();
		this.states.state(target).recordSent();
		String model = this.encodeLength ? MODEL + arrival.length() : MODEL;
		SidecarRequest request = new SidecarRequest(String.valueOf(number), OperationKind.COMPLETION, arrival.account(),
				model, "POST", "/", new byte[0], arrival.priority(), true, Optional.empty(), arrival.promptTokens(),
				65_536, arrival.timeoutMillis());
		this.hosts[Integer.parseInt(target.substring(1))].onMessage(number,
				new EntryMessage.Submit(new StreamId(number, 1), request, Long.MAX_VALUE), this.now);
	}

	// Retry a request that was refused at admission once at another engine, as an entry
	// does.
	private void onRefused(int number, int engine, SidecarMessage.Refused refused) {
		boolean refusedAtAdmission = refused.refusal().reason() == RefusalReason.OVERLOADED;
		if (refusedAtAdmission && this.retried.add(number)) {
			dispatch(number, this.replay.trace().arrivals().get(number), Set.of("t" + engine));
			return;
		}
		this.replay.metrics().recordRefusal();
	}

	private static String generationName(int number) {
		return number + "-1";
	}

	private static int requestNumber(String name) {
		return Integer.parseInt(name.substring(0, name.indexOf('-')));
	}

	private static String document(int targets) {
		StringBuilder text = new StringBuilder("{\"version\": 1, \"targets\": [");
		IntStream.range(0, targets)
			.forEach((i) -> text.append("{\"name\": \"t%d\", \"dataCentre\": \"d\", ".formatted(i))
				.append("\"address\": \"10.0.0.1:%d\", \"serves\": [\"m\"]},".formatted(1 + i)));
		return text.append("]}").toString();
	}

	/**
	 * Length model with exact output lengths, which are appended to the model name.
	 */
	static final class ClairvoyantLengthModel implements LengthModel {

		@Override
		public void observe(LengthClass type, long length) {
			// Lengths are already exact.
		}

		@Override
		public double survival(LengthClass type, long length) {
			return (length < Long.parseLong(type.model().substring(MODEL.length()))) ? 1 : 0;
		}

	}

	/**
	 * Callbacks of the host of one engine.
	 */
	private final class Outputs implements HostOutputs {

		private final int engine;

		Outputs(int engine) {
			this.engine = engine;
		}

		@Override
		public void send(long link, SidecarMessage message) {
			if (message instanceof SidecarMessage.Refused refused) {
				onRefused((int) link, this.engine, refused);
			}
		}

		@Override
		public void start(String generation, SidecarRequest request) {
			int number = CorePolicy.requestNumber(generation);
			CorePolicy.this.replay.start(this.engine, number, CorePolicy.this.replay.trace().arrivals().get(number),
					CorePolicy.this.now);
		}

		@Override
		public void reattach(String generation, long offset) {
			throw new IllegalStateException("the replay loses no generation");
		}

		@Override
		public void cancel(String generation) {
			CorePolicy.this.replay.engine(this.engine).cancel(String.valueOf(CorePolicy.requestNumber(generation)));
		}

		@Override
		public void preempt(String generation) {
			CorePolicy.this.replay.metrics().recordPreemption();
			CorePolicy.this.replay.engine(this.engine).pause(String.valueOf(CorePolicy.requestNumber(generation)));
		}

		@Override
		public void resume(String generation) {
			CorePolicy.this.replay.engine(this.engine)
				.resume(String.valueOf(CorePolicy.requestNumber(generation)), CorePolicy.this.now * 1000);
		}

		@Override
		public void lookUp(String generation) {
			throw new IllegalStateException("the replay uses no keys");
		}

		@Override
		public void requestKeyRevocation(String home, IdempotencyKey key) {
			throw new IllegalStateException("the replay uses no keys");
		}

	}

}
