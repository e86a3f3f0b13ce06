package dev.laneworks.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Simulation of an engine with continuous batching and bounded memory, driven by
 * timestamps that the caller passes in.
 * <p>
 * The duration of a step grows with the batch size and with the prompt tokens processed
 * in it. Each step produces one token for each running generation whose prompt has been
 * processed. Waiting generations are scheduled by priority, then by order of submission.
 * When memory is full, the most recently submitted of the running generations with the
 * lowest priority is preempted: its memory is freed, and its prompt and output must be
 * processed again before it resumes. Times are in microseconds. Not thread-safe.
 *
 * @since 0.1
 */
public final class EngineModel {

	private static final Comparator<Sequence> SCHEDULING_ORDER = Comparator
		.comparingInt((Sequence s) -> -s.request.priority())
		.thenComparingLong((s) -> s.submissionNumber);

	private final EngineSettings settings;

	private final EngineListener listener;

	private final PrefixCache cache;

	private final Map<String, Sequence> sequences = new HashMap<>();

	private final Set<Sequence> running = new LinkedHashSet<>();

	private final List<Sequence> waiting = new ArrayList<>();

	private long usedTokens;

	private long submissionCount;

	private long stepEndsAt = -1;

	private long preemptions;

	/**
	 * Create an idle engine.
	 * @param settings the memory size, batch size and step times
	 * @param cache the cache of prompt prefixes whose tokens need no processing
	 * @param listener notified of tokens, ends and preemptions
	 */
	public EngineModel(EngineSettings settings, PrefixCache cache, EngineListener listener) {
		this.settings = settings;
		this.cache = cache;
		this.listener = listener;
	}

	/**
	 * Queue a request, unless a generation of the same name exists.
	 * @param request the request
	 * @param now the current time in microseconds
	 */
	public void submit(EngineRequest request, long now) {
		Sequence sequence = new Sequence(request, ++this.submissionCount);
		if (this.sequences.putIfAbsent(request.name(), sequence) == null) {
			this.waiting.add(sequence);
			beginStepIfIdle(now);
		}
	}

	/**
	 * Discard a generation and free its memory.
	 * @param name the generation's name
	 * @return {@code true} if the generation existed
	 */
	public boolean cancel(String name) {
		Sequence sequence = this.sequences.remove(name);
		if (sequence == null) {
			return false;
		}
		this.waiting.remove(sequence);
		freeMemory(sequence);
		return true;
	}

	/**
	 * Suspend a generation and free its memory until it is resumed.
	 * @param name the generation's name
	 * @return {@code true} if the generation exists
	 */
	public boolean pause(String name) {
		Sequence sequence = this.sequences.get(name);
		if (sequence == null) {
			return false;
		}
		this.waiting.remove(sequence);
		freeMemory(sequence);
		return true;
	}

	/**
	 * Queue a paused generation again.
	 * @param name the generation's name
	 * @param now the current time in microseconds
	 * @return {@code true} if the generation exists
	 */
	public boolean resume(String name, long now) {
		Sequence sequence = this.sequences.get(name);
		if (sequence == null) {
			return false;
		}
		if (!this.running.contains(sequence) && !this.waiting.contains(sequence)) {
			this.waiting.add(sequence);
			beginStepIfIdle(now);
		}
		return true;
	}

	/**
	 * Return the time at which the current step ends.
	 * @return the time in microseconds, or empty if the engine is idle
	 */
	public Optional<Long> stepEndsAt() {
		return (this.stepEndsAt >= 0) ? Optional.of(this.stepEndsAt) : Optional.empty();
	}

	/**
	 * Finish the current step and begin the next. An idle engine does nothing.
	 */
	public void step() {
		if (this.stepEndsAt < 0) {
			return;
		}
		long stepEnd = this.stepEndsAt;
		for (Sequence sequence : new ArrayList<>(this.running)) {
			if (this.running.contains(sequence)) {
				emitToken(sequence, stepEnd);
			}
		}
		this.stepEndsAt = -1;
		beginStepIfIdle(stepEnd);
	}

	/**
	 * Return the memory in use.
	 * @return the number of tokens
	 */
	public long usedTokens() {
		return this.usedTokens;
	}

	/**
	 * Return the current batch size.
	 * @return the number of running generations
	 */
	public int runningCount() {
		return this.running.size();
	}

	/**
	 * Return the length of the queue.
	 * @return the number of waiting generations, without paused ones
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Return how often a generation was preempted.
	 * @return the number of preemptions since the start
	 */
	public long preemptions() {
		return this.preemptions;
	}

	private void emitToken(Sequence sequence, long stepEnd) {
		if (sequence.remainingPrefillTokens > 0) {
			return;
		}
		while (this.usedTokens >= this.settings.capacityTokens()) {
			Sequence victim = this.running.stream().max(SCHEDULING_ORDER).orElseThrow();
			preempt(victim, stepEnd);
			if (victim == sequence) {
				return;
			}
		}
		this.usedTokens++;
		sequence.occupiedTokens++;
		int offset = sequence.outputTokens++;
		this.listener.onToken(sequence.request.name(), offset, stepEnd);
		if (sequence.outputTokens >= sequence.request.outputLength()) {
			this.sequences.remove(sequence.request.name());
			freeMemory(sequence);
			boolean limitReached = sequence.request.naturalLength() > sequence.request.maxTokens();
			this.listener.onEnd(sequence.request.name(), sequence.outputTokens, limitReached, stepEnd);
		}
	}

	private void preempt(Sequence sequence, long stepEnd) {
		this.preemptions++;
		freeMemory(sequence);
		this.waiting.add(sequence);
		this.listener.onPreempted(sequence.request.name(), stepEnd);
	}

	private void beginStepIfIdle(long now) {
		if (this.stepEndsAt >= 0) {
			return;
		}
		admitWaiting();
		if (this.running.isEmpty()) {
			return;
		}
		long prefillTokens = prefill();
		this.stepEndsAt = now + this.settings.stepMicros() + this.running.size() * this.settings.stepMicrosPerSequence()
				+ prefillTokens * this.settings.prefillMicrosPerToken();
	}

	private void admitWaiting() {
		this.waiting.sort(SCHEDULING_ORDER);
		while (!this.waiting.isEmpty() && this.running.size() < this.settings.maxBatch()) {
			Sequence next = this.waiting.get(0);
			long requiredTokens = (long) next.request.promptTokens() + next.outputTokens;
			if (this.usedTokens + requiredTokens + 1 > this.settings.capacityTokens() && !this.running.isEmpty()) {
				return;
			}
			this.waiting.remove(0);
			next.occupiedTokens = requiredTokens;
			next.remainingPrefillTokens = requiredTokens - countCachedTokens(next);
			this.usedTokens += requiredTokens;
			this.running.add(next);
		}
	}

	private long countCachedTokens(Sequence sequence) {
		EngineRequest request = sequence.request;
		if (request.prefixHash() == 0 || request.prefixTokens() == 0) {
			return 0;
		}
		return this.cache.lookUpOrStore(request.prefixHash(), request.prefixTokens()) ? request.prefixTokens() : 0;
	}

	private long prefill() {
		long budget = this.settings.prefillTokensPerStep();
		long processedTokens = 0;
		for (Sequence sequence : this.running) {
			long tokens = Math.min(sequence.remainingPrefillTokens, budget - processedTokens);
			sequence.remainingPrefillTokens -= tokens;
			processedTokens += tokens;
		}
		return processedTokens;
	}

	private void freeMemory(Sequence sequence) {
		if (this.running.remove(sequence)) {
			this.usedTokens -= sequence.occupiedTokens;
			sequence.occupiedTokens = 0;
		}
	}

	/**
	 * Scheduling state of one generation.
	 */
	private static final class Sequence {

		private final EngineRequest request;

		private final long submissionNumber;

		private int outputTokens;

		private long occupiedTokens;

		private long remainingPrefillTokens;

		Sequence(EngineRequest request, long submissionNumber) {
			this.request = request;
			this.submissionNumber = submissionNumber;
		}

	}

}
