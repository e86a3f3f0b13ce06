package dev.laneworks.core.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.once.ExpiringNames;

/**
 * Registry of the generations of a target by name, and of names that must not run.
 * <p>
 * Names that must not run belong to revoked attempts and keys, or to requests that ran
 * and whose output was discarded.
 */
final class GenerationRegistry {

	/** Retention of names until the first configuration is loaded. */
	private static final long DEFAULT_RETENTION_MILLIS = Duration.ofMinutes(20).toMillis();

	private final ConfigurationHolder holder;

	private final Map<String, Generation> generations = new LinkedHashMap<>();

	private final ExpiringNames revoked = new ExpiringNames();

	private final ExpiringNames discarded = new ExpiringNames();

	GenerationRegistry(ConfigurationHolder holder) {
		this.holder = holder;
	}

	Optional<Generation> find(String name) {
		return Optional.ofNullable(this.generations.get(name));
	}

	// Find a generation that is running or preempted at the target.
	Optional<Generation> findActive(String name) {
		return find(name).filter((g) -> !g.state().isFinished() && !g.state().isBeforeExecution());
	}

	// Find a request that awaits answers on whether its key has already run.
	Optional<Generation> findAsking(String name) {
		return find(name).filter((g) -> g.state() == GenerationState.ASKING);
	}

	Collection<Generation> all() {
		return this.generations.values();
	}

	// Return a copy, for callers that add or remove generations while iterating.
	List<Generation> copyOfAll() {
		return new ArrayList<>(this.generations.values());
	}

	void put(Generation generation) {
		this.generations.put(generation.name(), generation);
	}

	void remove(String name) {
		this.generations.remove(name);
	}

	void revoke(String name, long now) {
		this.revoked.add(name, now + retentionMillis());
	}

	boolean isRevoked(String name) {
		return this.revoked.contains(name);
	}

	// Record that the request ran and its output is no longer held.
	void markDiscarded(String name, long now) {
		this.discarded.add(name, now + retentionMillis());
	}

	boolean isDiscarded(String name) {
		return this.discarded.contains(name);
	}

	void expireNames(long now) {
		this.revoked.expire(now);
		this.discarded.expire(now);
	}

	long retentionMillis() {
		return this.holder.current().map((c) -> c.keyTimes().retentionMillis()).orElse(DEFAULT_RETENTION_MILLIS);
	}

}
