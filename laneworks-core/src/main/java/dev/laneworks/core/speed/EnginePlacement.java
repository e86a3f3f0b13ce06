package dev.laneworks.core.speed;

import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Rules that assign generations to engines of different speed.
 * <p>
 * Streams that are sensitive to pauses avoid engines that would exceed their goal, and
 * generations of few events leave the faster engines to them. Without figures of speed,
 * all engines are equal.
 *
 * @since 0.4
 */
public final class EnginePlacement {

	/**
	 * Score bonus of an engine of half the usual speed for a generation of few events, as
	 * a fraction of engine memory. Smaller than the penalty of one unread prompt there.
	 */
	private static final double FEW_EVENTS_BONUS = 0.3;

	/**
	 * Score penalty of an engine of half the usual speed as the destination of a copy.
	 */
	private static final double DESTINATION_PENALTY = 0.3;

	private final ServiceSpeed speeds;

	private final GenerationNeeds needs;

	/**
	 * Create the placement of one generation.
	 * @param speeds the speeds of the service's engines
	 * @param needs the needs of the generation
	 */
	public EnginePlacement(ServiceSpeed speeds, GenerationNeeds needs) {
		this.speeds = speeds;
		this.needs = needs;
	}

	/**
	 * Leave out the engines at which an event would take longer than the goal, as long as
	 * another engine has memory for the generation.
	 * @param <T> the type of the engines
	 * @param engines the candidates
	 * @param speed returns the speed of an engine
	 * @param tokensPerEvent the number of tokens in an event
	 * @param hasRoom tests whether an engine has free memory for the generation
	 * @return the engines to choose from; all of them if no suitable one has room
	 */
	public <T> List<T> suitable(List<T> engines, Function<T, TargetSpeed> speed, int tokensPerEvent,
			Predicate<T> hasRoom) {
		if (!this.speeds.isActive() || !this.needs.isSensitiveToPauses()) {
			return engines;
		}
		List<T> suitable = engines.stream().filter((e) -> isFastEnough(speed.apply(e), tokensPerEvent)).toList();
		return suitable.stream().anyMatch(hasRoom) ? suitable : engines;
	}

	private boolean isFastEnough(TargetSpeed engine, int tokensPerEvent) {
		return this.speeds.slowEventMillis(engine, tokensPerEvent) <= this.needs.eventIntervalGoalMillis();
	}

	/**
	 * Weight the pending prompt tokens of an engine by its speed.
	 * @param engine the speed of the engine
	 * @param tokens the number of tokens
	 * @return the number of tokens that an engine of usual speed reads in the same time
	 */
	public double weighPromptTokens(TargetSpeed engine, long tokens) {
		return tokens * this.speeds.engineFactor(engine);
	}

	/**
	 * Return the score of an engine for a new generation due to its usual speed.
	 * @param engine the speed of the engine
	 * @return the score, lower being better; 0 at the usual speed
	 */
	public double startScore(TargetSpeed engine) {
		return this.needs.hasFewEvents() ? -FEW_EVENTS_BONUS * excess(engine) : 0;
	}

	/**
	 * Return the score of an engine as the destination of a move or copy due to its usual
	 * speed.
	 * @param engine the speed of the engine
	 * @return the score, lower being better; 0 at the usual speed
	 */
	public double destinationScore(TargetSpeed engine) {
		return DESTINATION_PENALTY * excess(engine);
	}

	// From 0 at the usual speed to 1 at half of it.
	private double excess(TargetSpeed engine) {
		return Math.max(0, Math.min(1, this.speeds.usualEngineFactor(engine) - 1));
	}

}
