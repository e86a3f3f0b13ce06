package dev.laneworks.core.host;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.admission.AdmissionQueue;
import dev.laneworks.core.admission.LengthModel;
import dev.laneworks.core.admission.MemoryForecast;
import dev.laneworks.core.admission.WaitEstimate;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Admission control of one target: limits the running generations by number and memory,
 * and selects the one to preempt when memory is nearly full.
 */
final class AdmissionController {

	/**
	 * Distance between the memory limits for preemption and for admission, as a share of
	 * the memory. Keeps a generation from being preempted and resumed repeatedly.
	 */
	private static final double PREEMPTION_MARGIN = 0.05;

	/** Maximum age of a forecast while no running generation is removed. */
	private static final long FORECAST_MAX_AGE_MILLIS = 50;

	private static final Comparator<Generation> PREEMPTION_ORDER = Comparator.comparingInt(Generation::priority)
		.thenComparingLong(Generation::occupiedTokens);

	private final HostSettings settings;

	private final MemoryForecast forecast;

	private final AdmissionQueue<Generation> queue;

	private final WaitEstimate waitEstimate = new WaitEstimate();

	private final Set<Generation> running = new LinkedHashSet<>();

	private long usedTokens;

	private boolean forecastStale;

	private long forecastAt;

	AdmissionController(HostSettings settings, LengthModel lengths) {
		this.settings = settings;
		this.forecast = new MemoryForecast(lengths, settings.deviations());
		this.queue = new AdmissionQueue<>(settings.ageingMillis());
	}

	// Return the refusal of a request that cannot be queued here, if any.
	Optional<Refusal> findRefusal(SidecarRequest request, long now) {
		if (limitsMemory() && request.promptTokens() >= this.settings.capacityTokens()) {
			return Optional
				.of(Refusal.permanent(RefusalReason.BAD_REQUEST, "the prompt is larger than the engine's memory"));
		}
		if (this.queue.size() >= this.settings.maxQueued()) {
			return Optional
				.of(Refusal.notRun(RefusalReason.OVERLOADED, "the queue is full", retryAfter(request.priority(), now)));
		}
		int ahead = this.queue.ahead(request.priority());
		if (ahead > 0 && this.waitEstimate.waitMillis(ahead, now) > request.callerTimeoutMillis()) {
			return Optional.of(Refusal.notRun(RefusalReason.WAIT_TOO_LONG,
					"the estimated wait exceeds the caller's timeout", retryAfter(request.priority(), now)));
		}
		return Optional.empty();
	}

	// Return the estimated wait until a request of this priority gets a slot.
	Duration retryAfter(int priority, long now) {
		long wait = this.waitEstimate.waitMillis(this.queue.ahead(priority), now);
		return Duration.ofMillis(Math.max(HostRefusals.MIN_RETRY_MILLIS, wait));
	}

	void enqueue(Generation generation) {
		this.queue.add(generation);
	}

	void requeue(Generation generation) {
		removeRunning(generation);
		this.queue.add(generation);
	}

	// Move the head of the queue to the running generations, if it fits.
	Optional<Generation> pollAdmissible(long now) {
		Optional<Generation> head = this.queue.peek(now);
		if (head.isEmpty() || this.running.size() >= this.settings.maxRunning() || !fits(head.get(), now)) {
			return Optional.empty();
		}
		Generation generation = head.get();
		this.queue.remove(generation);
		this.waitEstimate.recordAdmitted(now, this.queue.size() > 0);
		addRunning(generation);
		return head;
	}

	void addRunning(Generation generation) {
		this.running.add(generation);
		this.usedTokens += generation.occupiedTokens();
		this.forecast.add(generation);
		this.queue.recordServed(generation.account(), generation.weight(), generation.promptTokens());
	}

	void recordToken(Generation generation) {
		if (this.running.contains(generation)) {
			this.usedTokens++;
		}
		this.queue.recordServed(generation.account(), generation.weight(), 1);
	}

	// Remove a queued or running generation.
	void remove(Generation generation) {
		if (!this.queue.remove(generation)) {
			removeRunning(generation);
		}
	}

	// Select the generation to preempt if memory is nearly full.
	Optional<Generation> findPreemptionVictim() {
		if (!limitsMemory() || this.running.size() < 2
				|| this.usedTokens <= this.settings.highWaterMark() * this.settings.capacityTokens()) {
			return Optional.empty();
		}
		return this.running.stream().min(PREEMPTION_ORDER);
	}

	int runningCount() {
		return this.running.size();
	}

	int queuedCount() {
		return this.queue.size();
	}

	long usedTokens() {
		return this.usedTokens;
	}

	private boolean fits(Generation candidate, long now) {
		if (!limitsMemory() || this.running.isEmpty()) {
			return true;
		}
		if (this.forecastStale || now - this.forecastAt >= FORECAST_MAX_AGE_MILLIS) {
			this.forecast.refresh(this.running);
			this.forecastStale = false;
			this.forecastAt = now;
		}
		double admissionLimit = (this.settings.highWaterMark() - PREEMPTION_MARGIN) * this.settings.capacityTokens();
		return this.usedTokens + candidate.occupiedTokens() <= admissionLimit
				&& this.forecast.fits(candidate, this.settings.capacityTokens());
	}

	private void removeRunning(Generation generation) {
		if (!this.running.remove(generation)) {
			return;
		}
		this.usedTokens -= generation.occupiedTokens();
		this.forecastStale = true;
		if (this.queue.size() == 0) {
			Set<String> accounts = new HashSet<>();
			this.running.forEach((g) -> accounts.add(g.account()));
			this.queue.retainCounters(accounts);
		}
	}

	private boolean limitsMemory() {
		return this.settings.capacityTokens() > 0;
	}

}
