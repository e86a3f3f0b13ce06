package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.dispatch.OverloadedFleet.Execution;
import dev.laneworks.core.dispatch.OverloadedFleet.Kind;
import dev.laneworks.core.serving.AccountKeys;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;

/**
 * Engine that generates one token of each running generation in a step, reads a chunk of
 * one prompt meanwhile, starts generations by priority and preempts the least urgent one
 * if memory runs out.
 */
final class StepwiseEngine implements OverloadedFleet.FleetEngine {

	static final long MEMORY_TOKENS = 26_928;

	private static final int SLOTS = 24;

	private static final double STEP_MILLIS = 7;

	private static final double REQUEST_MILLIS = 0.12;

	private static final double CHUNK_TOKENS = 112;

	private static final double READ_TOKENS_PER_MILLI = 14;

	private static final int TOKENS_PER_EVENT = 4;

	private static final Comparator<Execution> BY_PRIORITY = Comparator.comparingInt(Execution::rank);

	private final List<Execution> waiting = new ArrayList<>();

	/** In the order of their starts, with the tokens generated for the next event. */
	private final Map<Execution, Integer> running = new java.util.LinkedHashMap<>();

	/** Memory held by copies and by stopped generations, by call. */
	final Map<Long, Long> held = new HashMap<>();

	private double stepEndsAt;

	/** The time at which its link is free for the next copy. */
	double linkFreeAt;

	static ServingPlan plan() {
		EngineSpec spec = new EngineSpec(SLOTS, MEMORY_TOKENS, 18_432, 2_700, TOKENS_PER_EVENT, true, true, 2_000);
		return new ServingPlan(1, List.of(Kind.PAGE_LONG.route(), Kind.PAGE_SHORT.route()),
				Map.of(DispatchHarness.ENGINES, new ServiceSpec(DispatchHarness.ENGINES, 400, 0, Optional.of(spec))),
				AccountKeys.notRequired(), new RequestLimits(16_384, 4_194_304, 3_000, 15_000));
	}

	// A generation that resumes at its copy is not read again.
	@Override
	public void add(Execution execution) {
		execution.sent().order().resume().ifPresent((r) -> {
			execution.passed = r.lastEvent().isEmpty() ? 0 : Integer.parseInt(r.lastEvent()) + 1;
			boolean hasCopy = this.held.remove(execution.sent().call()) != null;
			execution.unreadPromptTokens = hasCopy ? 0 : execution.tokens();
		});
		this.waiting.add(execution);
		this.waiting.sort(BY_PRIORITY);
	}

	@Override
	public void step(long now) {
		while (this.stepEndsAt <= now) {
			endStep(now);
			startNext();
			Optional<Execution> reading = this.running.keySet()
				.stream()
				.filter((e) -> e.unreadPromptTokens > 0)
				.findFirst();
			reading.ifPresent((e) -> e.unreadPromptTokens -= CHUNK_TOKENS);
			double readMillis = reading.isPresent() ? CHUNK_TOKENS / READ_TOKENS_PER_MILLI : 0;
			this.stepEndsAt = Math.max(this.stepEndsAt, now - 1) + STEP_MILLIS + REQUEST_MILLIS * this.running.size()
					+ readMillis;
		}
	}

	private void endStep(long now) {
		for (Execution execution : List.copyOf(this.running.keySet())) {
			if (execution.unreadPromptTokens > 0) {
				continue;
			}
			int generated = this.running.merge(execution, 1, Integer::sum);
			if (generated >= TOKENS_PER_EVENT) {
				this.running.put(execution, 0);
				if (!execution.sendEvent(now)) {
					this.running.remove(execution);
				}
			}
		}
	}

	private void startNext() {
		while (usedTokens() > MEMORY_TOKENS && !this.running.isEmpty()) {
			preempt();
		}
		while (!this.waiting.isEmpty() && this.running.size() < SLOTS && hasRoom(this.waiting.get(0).tokens())) {
			this.running.put(this.waiting.remove(0), 0);
		}
	}

	private void preempt() {
		Execution last = this.running.keySet().stream().reduce((a, b) -> (b.rank() >= a.rank()) ? b : a).get();
		this.running.remove(last);
		last.unreadPromptTokens = last.tokens();
		this.waiting.add(0, last);
		this.waiting.sort(BY_PRIORITY);
	}

	boolean hasRoom(long tokens) {
		return usedTokens() + tokens <= MEMORY_TOKENS;
	}

	private long usedTokens() {
		return this.running.keySet().stream().mapToLong(Execution::tokens).sum()
				+ this.held.values().stream().mapToLong(Long::longValue).sum();
	}

	// The generation of a call if it generates tokens.
	Optional<Execution> findRunning(long call) {
		return this.running.keySet()
			.stream()
			.filter((e) -> e.sent().call() == call && e.unreadPromptTokens <= 0 && e.passed > 0)
			.findFirst();
	}

	void stop(Execution execution) {
		this.running.remove(execution);
		this.held.put(execution.sent().call(), execution.tokens());
	}

	List<Execution> removeAll() {
		List<Execution> all = new ArrayList<>(this.running.keySet());
		all.addAll(this.waiting);
		this.running.clear();
		this.waiting.clear();
		return all;
	}

}
