package dev.laneworks.core.call;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Holds the open calls by number.
 */
final class OpenCalls {

	private final Map<Long, Call> calls = new LinkedHashMap<>();

	// Adds a call, whose number must not be in use.
	void add(Call call) {
		if (this.calls.putIfAbsent(call.number(), call) != null) {
			throw new IllegalArgumentException("call " + call.number() + " is open already");
		}
	}

	void remove(Call call) {
		this.calls.remove(call.number());
	}

	Optional<Call> find(long number) {
		return Optional.ofNullable(this.calls.get(number));
	}

	// A copy, for callers that close calls on their way.
	List<Call> copyOfAll() {
		return new ArrayList<>(this.calls.values());
	}

	List<Call> at(String target) {
		return this.calls.values().stream().filter((c) -> c.target().equals(target)).toList();
	}

	int size() {
		return this.calls.size();
	}

}
