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
import dev.laneworks.core.message.Work;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Decides which generations hold a place at the target, and which one yields.
 */
final class Admission {

	/**
	 * How far below the mark at which somebody yields admission stops, as a share of the
	 * memory; a chosen figure.
	 */
	private static final double YIELD_MARGIN = 0.05;

	/** How long a forecast is used while only tokens came since. */
	private static final long FORECAST_MILLIS = 50;

	private static final Comparator<Generation> FIRST_TO_YIELD = Comparator.comparingInt(Generation::priority)
		.thenComparingLong(Generation::heldTokens);

	private final HostSettings settings;

	private final MemoryForecast forecast;

	private final AdmissionQueue<Generation> queue;

	private final WaitEstimate waits = new WaitEstimate();

	private final Set<Generation> running = new LinkedHashSet<>();

	private long usedTokens;

	private boolean forecastStale;

	private long forecastAt;

	Admission(HostSettings settings, LengthModel lengths) {
		this.settings = settings;
		this.forecast = new MemoryForecast(lengths, settings.deviations());
		this.queue = new AdmissionQueue<>(settings.ageingMillis());
	}

	// Return why a request can't wait here, if it can't.
	Optional<Refusal> refusal(Work work, long now) {
		if (watchesMemory() && work.promptTokens() >= this.settings.capacityTokens()) {
			return Optional
				.of(Refusal.never(RefusalReason.BAD_REQUEST, "the prompt is larger than the engine's memory"));
		}
		if (this.queue.size() >= this.settings.maxQueued()) {
			return Optional
				.of(Refusal.notRun(RefusalReason.OVERLOADED, "the queue is full", retryAfter(work.priority(), now)));
		}
		int ahead = this.queue.ahead(work.priority());
		if (ahead > 0 && this.waits.waitMillis(ahead, now) > work.patienceMillis()) {
			return Optional.of(Refusal.notRun(RefusalReason.WAIT_TOO_LONG,
					"the wait would outlast the caller's patience", retryAfter(work.priority(), now)));
		}
		return Optional.empty();
	}

	// Return when a refused request of a priority may find a place.
	Duration retryAfter(int priority, long now) {
		long wait = this.waits.waitMillis(this.queue.ahead(priority), now);
		return Duration.ofMillis(Math.max(HostRefusals.LEAST_RETRY_MILLIS, wait));
	}

	void enqueue(Generation generation) {
		this.queue.add(generation);
	}

	// Put a running generation back in the queue.
	void requeue(Generation generation) {
		removeRunning(generation);
		this.queue.add(generation);
	}

	// Take the next request whose memory fits.
	Optional<Generation> next(long now) {
		Optional<Generation> head = this.queue.peek(now);
		if (head.isEmpty() || this.running.size() >= this.settings.maxRunning() || !fits(head.get(), now)) {
			return Optional.empty();
		}
		Generation generation = head.get();
		this.queue.remove(generation);
		this.waits.recordAdmitted(now, this.queue.size() > 0);
		addRunning(generation);
		return head;
	}

	void addRunning(Generation generation) {
		this.running.add(generation);
		this.usedTokens += generation.heldTokens();
		this.forecast.add(generation);
		this.queue.recordServed(generation.account(), generation.weight(), generation.promptTokens());
	}

	void recordToken(Generation generation) {
		if (this.running.contains(generation)) {
			this.usedTokens++;
		}
		this.queue.recordServed(generation.account(), generation.weight(), 1);
	}

	// Forget a generation, be it waiting or running.
	void remove(Generation generation) {
		if (!this.queue.remove(generation)) {
			removeRunning(generation);
		}
	}

	// Choose the generation that yields, if memory is nearly full.
	Optional<Generation> victim() {
		if (!watchesMemory() || this.running.size() < 2
				|| this.usedTokens <= this.settings.highWater() * this.settings.capacityTokens()) {
			return Optional.empty();
		}
		return this.running.stream().min(FIRST_TO_YIELD);
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
		if (!watchesMemory() || this.running.isEmpty()) {
			return true;
		}
		if (this.forecastStale || now - this.forecastAt >= FORECAST_MILLIS) {
			this.forecast.refresh(this.running);
			this.forecastStale = false;
			this.forecastAt = now;
		}
		// Below the mark at which somebody yields, or a generation would yield and go on
		// in turns.
		double mark = (this.settings.highWater() - YIELD_MARGIN) * this.settings.capacityTokens();
		return this.usedTokens + candidate.heldTokens() <= mark
				&& this.forecast.fits(candidate, this.settings.capacityTokens());
	}

	private void removeRunning(Generation generation) {
		if (!this.running.remove(generation)) {
			return;
		}
		this.usedTokens -= generation.heldTokens();
		this.forecastStale = true;
		if (this.queue.size() == 0) {
			Set<String> accounts = new HashSet<>();
			this.running.forEach((g) -> accounts.add(g.account()));
			this.queue.retainCounters(accounts);
		}
	}

	private boolean watchesMemory() {
		return this.settings.capacityTokens() > 0;
	}

}
