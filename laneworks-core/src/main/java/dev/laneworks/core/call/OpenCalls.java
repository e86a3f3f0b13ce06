package dev.laneworks.core.call;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Open calls of an entry by number, in the order of their opening.
 */
final class OpenCalls {

	private final Map<Long, Call> calls = new LinkedHashMap<>();

	void add(Call call) {
		if (this.calls.putIfAbsent(call.number(), call) != null) {
			throw new IllegalArgumentException("call " + call.number() + " is already open");
		}
	}

	void remove(Call call) {
		this.calls.remove(call.number());
	}

	Optional<Call> find(long number) {
		return Optional.ofNullable(this.calls.get(number));
	}

	// A copy, so that calls can be closed during an iteration.
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
