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
 * Models an engine that batches continuously in a bounded memory, as pure code over
 * explicit time.
 * <p>
 * Each step takes a time that grows with the batch and with the prompt tokens worked
 * through in it, and gives each running generation one token. Generations wait by
 * priority, then by age. When memory is full the running generation of the lowest
 * priority that came last is pushed aside: its memory is freed and must be filled again,
 * prompt and output, before it goes on. Times are in microseconds. Not thread-safe.
 *
 * @since 0.1
 */
public final class EngineModel {

	private static final Comparator<Sequence> FIRST_TO_RUN = Comparator
		.comparingInt((Sequence s) -> -s.request.priority())
		.thenComparingLong((s) -> s.number);

	private final EngineSettings settings;

	private final EngineListener listener;

	private final PrefixCache cache;

	private final Map<String, Sequence> sequences = new HashMap<>();

	private final Set<Sequence> running = new LinkedHashSet<>();

	private final List<Sequence> waiting = new ArrayList<>();

	private long usedTokens;

	private long count;

	private long stepEndsAt = -1;

	private long preemptions;

	/**
	 * Create an idle engine.
	 * @param settings how it behaves
	 * @param cache keeps prompt prefixes
	 * @param listener hears what it does
	 */
	public EngineModel(EngineSettings settings, PrefixCache cache, EngineListener listener) {
		this.settings = settings;
		this.cache = cache;
		this.listener = listener;
	}

	/**
	 * Take a request.
	 * @param request the request
	 * @param now the time
	 */
	public void submit(EngineRequest request, long now) {
		Sequence sequence = new Sequence(request, ++this.count);
		if (this.sequences.putIfAbsent(request.name(), sequence) == null) {
			this.waiting.add(sequence);
			beginStepIfIdle(now);
		}
	}

	/**
	 * Forget a generation and free its memory.
	 * @param name the generation's name
	 * @return whether it was held
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
	 * Set a generation aside and free its memory until it is resumed.
	 * @param name the generation's name
	 * @return whether it was held
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
	 * Go on with a generation that was set aside.
	 * @param name the generation's name
	 * @param now the time
	 * @return whether it was held
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
	 * Return when the step under way ends.
	 * @return the time, or empty if the engine is idle
	 */
	public Optional<Long> stepEndsAt() {
		return (this.stepEndsAt >= 0) ? Optional.of(this.stepEndsAt) : Optional.empty();
	}

	/**
	 * End the step under way and begin the next.
	 */
	public void step() {
		if (this.stepEndsAt < 0) {
			return;
		}
		long at = this.stepEndsAt;
		for (Sequence sequence : new ArrayList<>(this.running)) {
			if (this.running.contains(sequence)) {
				emit(sequence, at);
			}
		}
		this.stepEndsAt = -1;
		beginStepIfIdle(at);
	}

	/**
	 * Return the tokens in memory.
	 * @return the count
	 */
	public long usedTokens() {
		return this.usedTokens;
	}

	/**
	 * Return the generations in the batch.
	 * @return the count
	 */
	public int runningCount() {
		return this.running.size();
	}

	/**
	 * Return the generations that wait.
	 * @return the count
	 */
	public int waitingCount() {
		return this.waiting.size();
	}

	/**
	 * Return how often a generation was pushed aside.
	 * @return the count since the start
	 */
	public long preemptions() {
		return this.preemptions;
	}

	/**
	 * Return whether a generation is held.
	 * @param name the generation's name
	 * @return {@code true} from its request to its end
	 */
	public boolean holds(String name) {
		return this.sequences.containsKey(name);
	}

	private void emit(Sequence sequence, long at) {
		if (sequence.prefillLeft > 0) {
			return;
		}
		while (this.usedTokens >= this.settings.capacityTokens()) {
			Sequence victim = this.running.stream().max(FIRST_TO_RUN).orElseThrow();
			preempt(victim, at);
			if (victim == sequence) {
				return;
			}
		}
		this.usedTokens++;
		sequence.heldTokens++;
		int offset = sequence.output++;
		this.listener.onToken(sequence.request.name(), offset, at);
		if (sequence.output >= sequence.request.outputLength()) {
			this.sequences.remove(sequence.request.name());
			freeMemory(sequence);
			boolean byLimit = sequence.request.length() > sequence.request.limit();
			this.listener.onEnd(sequence.request.name(), sequence.output, byLimit, at);
		}
	}

	private void preempt(Sequence sequence, long at) {
		this.preemptions++;
		freeMemory(sequence);
		this.waiting.add(sequence);
		this.listener.onPreempted(sequence.request.name(), at);
	}

	private void beginStepIfIdle(long now) {
		if (this.stepEndsAt >= 0) {
			return;
		}
		admit();
		if (this.running.isEmpty()) {
			return;
		}
		long prefill = prefill();
		this.stepEndsAt = now + this.settings.stepMicros() + this.running.size() * this.settings.stepMicrosPerSequence()
				+ prefill * this.settings.prefillMicrosPerToken();
	}

	private void admit() {
		this.waiting.sort(FIRST_TO_RUN);
		while (!this.waiting.isEmpty() && this.running.size() < this.settings.maxBatch()) {
			Sequence next = this.waiting.get(0);
			long need = (long) next.request.promptTokens() + next.output;
			if (this.usedTokens + need + 1 > this.settings.capacityTokens() && !this.running.isEmpty()) {
				return;
			}
			this.waiting.remove(0);
			next.heldTokens = need;
			next.prefillLeft = need - cachedTokens(next);
			this.usedTokens += need;
			this.running.add(next);
		}
	}

	private long cachedTokens(Sequence sequence) {
		EngineRequest request = sequence.request;
		if (request.prefixHash() == 0 || request.prefixTokens() == 0) {
			return 0;
		}
		return this.cache.use(request.prefixHash(), request.prefixTokens()) ? request.prefixTokens() : 0;
	}

	private long prefill() {
		long budget = this.settings.prefillTokensPerStep();
		long done = 0;
		for (Sequence sequence : this.running) {
			long part = Math.min(sequence.prefillLeft, budget - done);
			sequence.prefillLeft -= part;
			done += part;
		}
		return done;
	}

	private void freeMemory(Sequence sequence) {
		if (this.running.remove(sequence)) {
			this.usedTokens -= sequence.heldTokens;
			sequence.heldTokens = 0;
		}
	}

	/**
	 * A generation in the engine.
	 */
	private static final class Sequence {

		private final EngineRequest request;

		private final long number;

		private int output;

		private long heldTokens;

		private long prefillLeft;

		Sequence(EngineRequest request, long number) {
			this.request = request;
			this.number = number;
		}

	}

}
