package dev.laneworks.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import dev.laneworks.runtime.http.EventStream;

/**
 * What the engine's one thread owns: the model in real time, outputs, and what is told of
 * load and cache late.
 */
final class EngineState implements EngineListener {

	/** How long a whole output can be read again, in microseconds; a chosen figure. */
	private static final long HOLD_MICROS = TimeUnit.SECONDS.toMicros(60);

	/** The most cache events that are kept; older ones are a gap to those who ask. */
	private static final int MOST_CACHE_EVENTS = 8192;

	private final EngineSettings settings;

	private final TokenText text;

	private final EngineModel model;

	private final Map<String, EngineOutput> outputs = new HashMap<>();

	private final Set<String> cancelled = new HashSet<>();

	private final Map<String, Integer> runs = new HashMap<>();

	private final Deque<CacheEvent> cacheEvents = new ArrayDeque<>();

	private final Random losses;

	private long cacheEventCount;

	private Load reported = new Load(0, 0, 0, 0, 0);

	private Load pending = new Load(0, 0, 0, 0, 0);

	private long reportedAt;

	EngineState(EngineSettings settings) {
		this.settings = settings;
		this.text = new TokenText(settings);
		this.losses = new Random(settings.seed());
		this.model = new EngineModel(settings, new PrefixCache(settings.prefixCacheTokens(), this::cacheChanged), this);
	}

	void run() {
		long now = now();
		while (this.model.stepEndsAt().filter((t) -> t <= now).isPresent()) {
			this.model.step();
		}
		if (now - this.reportedAt >= TimeUnit.MILLISECONDS.toMicros(this.settings.reportLagMillis())) {
			this.reportedAt = now;
			this.reported = this.pending;
			this.pending = new Load(this.model.runningCount(), this.model.waitingCount(), this.model.usedTokens(),
					this.settings.capacityTokens(), this.model.preemptions());
			this.outputs.values().removeIf((o) -> o.hasEndedBefore(now - HOLD_MICROS));
		}
	}

	boolean submit(EngineRequest request, String modelName, boolean chat) {
		if (this.cancelled.contains(request.name())) {
			return false;
		}
		if (!holds(request.name())) {
			this.runs.merge(request.name(), 1, Integer::sum);
			this.outputs.put(request.name(), new EngineOutput(request.name(), modelName, chat));
			this.model.submit(request, now());
		}
		return true;
	}

	void read(String name, EventStream stream, int offset) {
		EngineOutput output = this.outputs.get(name);
		if (output == null) {
			stream.end();
			return;
		}
		output.read(stream, offset);
	}

	boolean holds(String name) {
		return this.outputs.containsKey(name);
	}

	Object state(String name) {
		return holds(name) ? Map.of("name", name) : null;
	}

	Object cancel(String name) {
		this.cancelled.add(name);
		this.model.cancel(name);
		EngineOutput output = this.outputs.remove(name);
		if (output == null) {
			return null;
		}
		output.endReaders();
		return Map.of("cancelled", name);
	}

	Object pause(String name) {
		return this.model.pause(name) ? Map.of("paused", name) : null;
	}

	Object resume(String name) {
		return this.model.resume(name, now()) ? Map.of("resumed", name) : null;
	}

	Object load() {
		return this.reported;
	}

	// The names of all generations ever run and how often, for checks.
	Object runs() {
		return this.runs;
	}

	Object cacheEvents(long after) {
		long visible = now() - TimeUnit.MILLISECONDS.toMicros(this.settings.eventLagMillis());
		return this.cacheEvents.stream().filter((e) -> e.number() > after && e.at() <= visible).toList();
	}

	@Override
	public void onToken(String name, int offset, long atMicros) {
		EngineOutput output = this.outputs.get(name);
		if (output != null) {
			output.add(this.text.token(name, offset));
		}
	}

	@Override
	public void onEnd(String name, int total, boolean byLimit, long atMicros) {
		EngineOutput output = this.outputs.get(name);
		if (output != null) {
			output.end(byLimit ? "length" : "stop", atMicros);
		}
	}

	@Override
	public void onPreempted(String name, long atMicros) {
		// Counted by the model.
	}

	private void cacheChanged(long hash, boolean stored) {
		this.cacheEventCount++;
		if (this.losses.nextDouble() < this.settings.eventLossShare()) {
			return;
		}
		this.cacheEvents.addLast(new CacheEvent(this.cacheEventCount, now(), hash, stored));
		if (this.cacheEvents.size() > MOST_CACHE_EVENTS) {
			this.cacheEvents.removeFirst();
		}
	}

	private static long now() {
		return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
	}

	/**
	 * A load report.
	 */
	private record Load(int running, int waiting, long usedTokens, long capacityTokens, long preemptions) {

	}

	/**
	 * A prefix stored or dropped.
	 */
	private record CacheEvent(long number, long at, long hash, boolean stored) {

	}

}
