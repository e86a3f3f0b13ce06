package dev.laneworks.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.laneworks.core.verdict.Verdict;

/**
 * Test oracle that records which generations ran and what callers received, and checks
 * the invariants.
 */
final class Oracle {

	private final Map<String, Integer> runCounts = new HashMap<>();

	private final Map<String, List<Integer>> enginesByName = new HashMap<>();

	private final List<FakeCall> calls = new ArrayList<>();

	static byte[] tokenData(String generation, int offset) {
		return (generation + '#' + offset).getBytes(StandardCharsets.UTF_8);
	}

	void recordRun(String name, int engine) {
		this.runCounts.merge(name, 1, Integer::sum);
		this.enginesByName.computeIfAbsent(name, (n) -> new ArrayList<>()).add(engine);
		if (name.startsWith("once-") && this.runCounts.get(name) > 1) {
			throw new InvariantViolationException("a request that must not be repeated ran twice: " + name
					+ " at engines " + this.enginesByName.get(name));
		}
	}

	void recordCall(FakeCall call) {
		this.calls.add(call);
	}

	List<FakeCall> calls() {
		return this.calls;
	}

	// Called at the end of a trace, after all calls have finished.
	void checkAll() {
		for (FakeCall call : this.calls) {
			checkRuns(call);
		}
	}

	private void checkRuns(FakeCall call) {
		if (call.key().isPresent()) {
			checkKey(call);
			return;
		}
		int count = runsOf(call.requestId());
		if (call.verdict().filter((v) -> v == Verdict.NOT_RUN).isPresent() && count > 0) {
			throw new InvariantViolationException(
					"call " + call.number() + " was refused as not run but ran: " + call.cause());
		}
		if (!call.isRepeatable() && count > 1) {
			throw new InvariantViolationException(
					"call " + call.number() + " must not be repeated but ran " + count + " times");
		}
	}

	private void checkKey(FakeCall call) {
		String name = call.key().get().generationName();
		boolean allNotRun = this.calls.stream()
			.filter((c) -> c.key().equals(call.key()))
			.allMatch((c) -> c.verdict().filter((v) -> v == Verdict.NOT_RUN).isPresent());
		if (allNotRun && this.runCounts.containsKey(name)) {
			throw new InvariantViolationException("every attempt of " + name + " was refused as not run but it ran");
		}
	}

	private int runsOf(String requestId) {
		return this.runCounts.entrySet()
			.stream()
			.filter((e) -> e.getKey().startsWith(requestId + '-'))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

}
