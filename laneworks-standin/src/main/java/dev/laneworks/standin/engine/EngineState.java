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
 * State owned by the engine's thread: the model, which it runs in real time, the outputs,
 * and the delayed reports of load and cache changes.
 */
final class EngineState implements EngineListener {

	/** How long a finished output can still be read. */
	private static final long OUTPUT_RETENTION_MICROS = TimeUnit.SECONDS.toMicros(60);

	/** Bounds the memory of the cache event log. */
	private static final int MAX_CACHE_EVENTS = 8192;

	private final EngineSettings settings;

	private final TokenText text;

	private final EngineModel model;

	private final Map<String, EngineOutput> outputs = new HashMap<>();

	private final Set<String> cancelled = new HashSet<>();

	private final Map<String, Integer> executionCounts = new HashMap<>();

	private final Deque<CacheEvent> cacheEvents = new ArrayDeque<>();

	private final Random eventLossRandom;

	private long cacheEventCount;

	private Load reportedLoad = new Load(0, 0, 0, 0, 0);

	private Load pendingLoad = new Load(0, 0, 0, 0, 0);

	private long reportedAtMicros;

	EngineState(EngineSettings settings) {
		this.settings = settings;
		this.text = new TokenText(settings);
		this.eventLossRandom = new Random(settings.seed());
		this.model = new EngineModel(settings, new PrefixCache(settings.prefixCacheTokens(), this::recordCacheChange),
				this);
	}

	void advance() {
		long now = now();
		while (this.model.stepEndsAt().filter((t) -> t <= now).isPresent()) {
			this.model.step();
		}
		if (now - this.reportedAtMicros >= TimeUnit.MILLISECONDS.toMicros(this.settings.reportLagMillis())) {
			this.reportedAtMicros = now;
			this.reportedLoad = this.pendingLoad;
			this.pendingLoad = new Load(this.model.runningCount(), this.model.waitingCount(), this.model.usedTokens(),
					this.settings.capacityTokens(), this.model.preemptions());
			this.outputs.values().removeIf((o) -> o.hasEndedBefore(now - OUTPUT_RETENTION_MICROS));
		}
	}

	boolean submit(EngineRequest request, String modelName, boolean chat) {
		if (this.cancelled.contains(request.name())) {
			return false;
		}
		if (!hasOutput(request.name())) {
			this.executionCounts.merge(request.name(), 1, Integer::sum);
			this.outputs.put(request.name(), new EngineOutput(request.name(), modelName, chat));
			this.model.submit(request, now());
		}
		return true;
	}

	void attachReader(String name, EventStream stream, int offset) {
		EngineOutput output = this.outputs.get(name);
		if (output == null) {
			stream.end();
			return;
		}
		output.attachReader(stream, offset);
	}

	boolean hasOutput(String name) {
		return this.outputs.containsKey(name);
	}

	Object describe(String name) {
		return hasOutput(name) ? Map.of("name", name) : null;
	}

	Object cancel(String name) {
		this.cancelled.add(name);
		this.model.cancel(name);
		EngineOutput output = this.outputs.remove(name);
		if (output == null) {
			return null;
		}
		output.endStreams();
		return Map.of("cancelled", name);
	}

	Object pause(String name) {
		return this.model.pause(name) ? Map.of("paused", name) : null;
	}

	Object resume(String name) {
		return this.model.resume(name, now()) ? Map.of("resumed", name) : null;
	}

	Object load() {
		return this.reportedLoad;
	}

	// Returns the number of executions of each generation, for tests.
	Object executionCounts() {
		return this.executionCounts;
	}

	Object cacheEvents(long after) {
		long visibleUntil = now() - TimeUnit.MILLISECONDS.toMicros(this.settings.eventLagMillis());
		return this.cacheEvents.stream().filter((e) -> e.number() > after && e.at() <= visibleUntil).toList();
	}

	@Override
	public void onToken(String name, int offset, long atMicros) {
		EngineOutput output = this.outputs.get(name);
		if (output != null) {
			output.append(this.text.token(name, offset));
		}
	}

	@Override
	public void onEnd(String name, int tokenCount, boolean limitReached, long atMicros) {
		EngineOutput output = this.outputs.get(name);
		if (output != null) {
			output.end(limitReached ? "length" : "stop", atMicros);
		}
	}

	@Override
	public void onPreempted(String name, long atMicros) {
		// The model counts preemptions.
	}

	private void recordCacheChange(long hash, boolean stored) {
		this.cacheEventCount++;
		if (this.eventLossRandom.nextDouble() < this.settings.eventLossRate()) {
			return;
		}
		this.cacheEvents.addLast(new CacheEvent(this.cacheEventCount, now(), hash, stored));
		if (this.cacheEvents.size() > MAX_CACHE_EVENTS) {
			this.cacheEvents.removeFirst();
		}
	}

	private static long now() {
		return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
	}

	/**
	 * Load report as it is written to JSON.
	 */
	private record Load(int running, int waiting, long usedTokens, long capacityTokens, long preemptions) {

	}

	/**
	 * Prefix that was stored or evicted, as it is written to JSON.
	 */
	private record CacheEvent(long number, long at, long hash, boolean stored) {

	}

}
