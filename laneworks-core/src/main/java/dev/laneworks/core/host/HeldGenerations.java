package dev.laneworks.core.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.once.ExpiringNames;

/**
 * Holds the generations of a target by name, and remembers the names that must not run.
 * <p>
 * Such names are those of barred attempts, and those of requests that ran and whose
 * output is no longer held.
 */
final class HeldGenerations {

	/**
	 * How long names are remembered while there is no configuration that says it, in
	 * milliseconds.
	 */
	private static final long UNKNOWN_MEMORY_MILLIS = Duration.ofMinutes(20).toMillis();

	private final ConfigurationLedger ledger;

	private final Map<String, Generation> generations = new LinkedHashMap<>();

	private final ExpiringNames barred = new ExpiringNames();

	private final ExpiringNames spent = new ExpiringNames();

	HeldGenerations(ConfigurationLedger ledger) {
		this.ledger = ledger;
	}

	Optional<Generation> find(String name) {
		return Optional.ofNullable(this.generations.get(name));
	}

	// Finds a generation that runs at the target or is set aside there.
	Optional<Generation> findUnderWay(String name) {
		return find(name).filter((g) -> !g.state().isOver() && !g.state().isBeforeRun());
	}

	// Finds a request for which others are asked whether it ran already.
	Optional<Generation> findAsking(String name) {
		return find(name).filter((g) -> g.state() == GenerationState.ASKING);
	}

	Collection<Generation> all() {
		return this.generations.values();
	}

	// A copy, for callers that add or remove generations on their way.
	List<Generation> copyOfAll() {
		return new ArrayList<>(this.generations.values());
	}

	void put(Generation generation) {
		this.generations.put(generation.name(), generation);
	}

	void remove(String name) {
		this.generations.remove(name);
	}

	void bar(String name, long now) {
		this.barred.add(name, now + memoryMillis());
	}

	boolean isBarred(String name) {
		return this.barred.contains(name);
	}

	// Remembers that a request of this name ran and its output is no longer held.
	void spend(String name, long now) {
		this.spent.add(name, now + memoryMillis());
	}

	boolean isSpent(String name) {
		return this.spent.contains(name);
	}

	void expireNames(long now) {
		this.barred.expire(now);
		this.spent.expire(now);
	}

	// How long names are remembered, in milliseconds.
	long memoryMillis() {
		return this.ledger.current().map((c) -> c.keyTimes().memoryMillis()).orElse(UNKNOWN_MEMORY_MILLIS);
	}

}
