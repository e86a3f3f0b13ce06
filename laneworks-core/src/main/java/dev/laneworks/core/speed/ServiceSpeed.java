package dev.laneworks.core.speed;

import java.util.Collection;
import java.util.List;
import java.util.function.Function;

/**
 * Speeds of the targets of one service relative to each other at one moment.
 * <p>
 * Every factor is 1 unless a target of the service reports its slowness.
 *
 * @since 0.4
 */
public final class ServiceSpeed {

	/**
	 * Duration of a step that also reads a prompt relative to the mean step. Such a step
	 * takes 17 ms to 18 ms where a mean one takes 11 ms to 12 ms.
	 */
	private static final double PREFILL_FACTOR = 1.5;

	/** Speeds of a service whose targets report none. */
	public static final ServiceSpeed UNKNOWN = new ServiceSpeed(List.of(), 0);

	private final boolean active;

	private final double millisPerToken;

	private final double responseMillis;

	private final double millisPerPromptToken;

	private final double slowPhase;

	private final long now;

	private ServiceSpeed(Collection<TargetSpeed> targets, long now) {
		this.active = targets.stream().anyMatch((t) -> t.isReporting(now));
		this.millisPerToken = mean(targets, TargetSpeed::millisPerToken);
		this.responseMillis = mean(targets, TargetSpeed::responseMillis);
		this.millisPerPromptToken = mean(targets, TargetSpeed::millisPerPromptToken);
		this.slowPhase = targets.stream().mapToDouble((t) -> t.slowPhase(now)).max().orElse(1);
		this.now = now;
	}

	/**
	 * Compare the targets of a service.
	 * @param targets the speeds of all candidate targets
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the comparison, valid at this moment
	 */
	public static ServiceSpeed of(Collection<TargetSpeed> targets, long now) {
		return new ServiceSpeed(List.copyOf(targets), now);
	}

	private static double mean(Collection<TargetSpeed> targets, Function<TargetSpeed, LearnedMean> figure) {
		return targets.stream()
			.map(figure)
			.filter(LearnedMean::isKnown)
			.mapToDouble(LearnedMean::mean)
			.average()
			.orElse(0);
	}

	/**
	 * Determine whether the targets of the service report their slowness.
	 * @return {@code true} if at least one does
	 */
	public boolean isActive() {
		return this.active;
	}

	/**
	 * Return how long an engine takes for the same work, relative to the other engines.
	 * @param engine the speed of the engine
	 * @return the factor, from 0.25 to 8
	 */
	public double engineFactor(TargetSpeed engine) {
		return this.active ? CurrentSlowness
			.bound(engine.factor(this.now) * relative(engine.millisPerToken(), this.millisPerToken)) : 1;
	}

	/**
	 * Return how long a plain target takes for the same request, relative to the others.
	 * @param target the speed of the target
	 * @return the factor, from 0.25 to 8
	 */
	public double plainFactor(TargetSpeed target) {
		return this.active ? CurrentSlowness
			.bound(target.factor(this.now) * relative(target.responseMillis(), this.responseMillis)) : 1;
	}

	/**
	 * Return how long an engine usually takes for the same work relative to the others,
	 * without its current slowness.
	 * @param engine the speed of the engine
	 * @return the factor, from 0.25 to 8
	 */
	public double usualEngineFactor(TargetSpeed engine) {
		return this.active ? CurrentSlowness.bound(relative(engine.millisPerToken(), this.millisPerToken)) : 1;
	}

	/**
	 * Estimate the interval between two events at an engine that also reads a prompt and
	 * is in a slow phase.
	 * @param engine the speed of the engine
	 * @param tokensPerEvent the number of tokens in an event
	 * @return the interval in milliseconds; 0 if no interval is known in the service
	 */
	public double slowEventMillis(TargetSpeed engine, int tokensPerEvent) {
		return usualEngineFactor(engine) * this.millisPerToken * tokensPerEvent * PREFILL_FACTOR * this.slowPhase;
	}

	/**
	 * Return the mean of the usual response times of the plain targets.
	 * @return the time in milliseconds; 0 if unknown
	 */
	public double responseMillis() {
		return this.responseMillis;
	}

	/**
	 * Return the usual time in which the engines read a prompt token.
	 * @return the time in milliseconds; 0 if unknown
	 */
	public double millisPerPromptToken() {
		return this.millisPerPromptToken;
	}

	// A target without a figure counts as the mean of the others.
	private static double relative(LearnedMean own, double mean) {
		return (own.isKnown() && mean > 0) ? own.mean() / mean : 1;
	}

}
