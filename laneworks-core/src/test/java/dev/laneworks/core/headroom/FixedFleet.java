package dev.laneworks.core.headroom;

import java.util.HashMap;
import java.util.Map;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Engines of one service with given numbers.
 */
final class FixedFleet implements EngineFleet {

	static final String SERVICE = "s";

	static final long MEMORY = 26_928;

	final Map<String, Double> reserved = new HashMap<>();

	int engines = 24;

	int entries = 29;

	static ListedTarget engine(String id) {
		return new ListedTarget(id, SERVICE, "10.0.0.1", 80, "dc", 24, false);
	}

	@Override
	public int mostUrgentPriority(String service) {
		return 0;
	}

	@Override
	public long memoryTokens(String service) {
		return MEMORY;
	}

	@Override
	public int acceptingEngines(String service) {
		return this.engines;
	}

	@Override
	public double reservedTokens(ListedTarget engine, long now) {
		return this.reserved.getOrDefault(engine.id(), 0.0);
	}

	@Override
	public int entries() {
		return this.entries;
	}

}
