package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Speeds of simulated targets of which one in four takes twice as long, and which all
 * take 2.5 times as long in phases of about 600 ms, 15 % of the time.
 */
final class UnevenSpeeds {

	private static final double SLOW_PHASE = 2.5;

	private static final double SLOW_MILLIS = 600;

	private static final double USUAL_MILLIS = 3_400;

	private final SplittableRandom random;

	private final Map<String, Phase> phases = new HashMap<>();

	UnevenSpeeds(long seed) {
		this.random = new SplittableRandom(seed);
	}

	// The time that work takes relative to the usual time of the target.
	double slowness(String id, long now) {
		Phase phase = this.phases.computeIfAbsent(id, (i) -> new Phase());
		while (phase.until <= now) {
			phase.slow = !phase.slow;
			double mean = phase.slow ? SLOW_MILLIS : USUAL_MILLIS;
			phase.until += 1 + Math.round(mean * (0.5 + this.random.nextDouble()));
		}
		return phase.slow ? SLOW_PHASE : 1;
	}

	// The usual time of the target relative to that of most others.
	static double usual(int number) {
		return (number % 4 == 0) ? 2 : 1;
	}

	private static final class Phase {

		private boolean slow = true;

		private long until;

	}

}
