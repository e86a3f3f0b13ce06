package dev.laneworks.core.admission;

import java.util.Collection;

/**
 * Forecasts the memory that running generations will hold, while their lengths are
 * unknown.
 * <p>
 * All running generations grow together, a token a step. For a few points in the future
 * the forecast adds up what each generation will hold if it still runs then, and how
 * uncertain that is: with {@code n} tokens so far, a generation still runs {@code h}
 * steps on with the probability {@code S(n + h) / S(n)} of its survival curve. A
 * candidate fits if at every point the mean plus a number of standard deviations stays
 * within the memory. The number of deviations sets the chance of outgrowing the memory.
 *
 * @since 0.1
 */
public final class MemoryForecast {

	private static final int[] HORIZONS = { 0, 16, 32, 64, 90, 128, 181, 256, 362, 512, 724, 1024, 1448, 2048, 2896,
			4096, 5793, 8192, 11585, 16384 };

	private static final double CERTAINLY_RUNNING = 1.0;

	private final LengthModel lengths;

	private final double deviations;

	private final double[] means = new double[HORIZONS.length];

	private final double[] variances = new double[HORIZONS.length];

	/** What all would hold if each grew as long as it may. */
	private long ceiling;

	/**
	 * Create a forecast of an empty engine.
	 * @param lengths says how likely an output is to outlast a length
	 * @param deviations the standard deviations kept free, 0 or more
	 */
	public MemoryForecast(LengthModel lengths, double deviations) {
		if (!(deviations >= 0)) {
			throw new IllegalArgumentException("deviations must not be negative but is " + deviations);
		}
		this.lengths = lengths;
		this.deviations = deviations;
	}

	/**
	 * Forecast anew from what runs now.
	 * @param running the running generations
	 */
	public void refresh(Collection<? extends MemoryUser> running) {
		this.ceiling = 0;
		for (int i = 0; i < HORIZONS.length; i++) {
			this.means[i] = 0;
			this.variances[i] = 0;
		}
		running.forEach(this::add);
	}

	/**
	 * Add a generation that was admitted since the last refresh.
	 * @param user the generation
	 */
	public void add(MemoryUser user) {
		this.ceiling += ceiling(user);
		double survivalNow = survivalNow(user);
		for (int i = 0; i < HORIZONS.length; i++) {
			double running = probability(user, survivalNow, HORIZONS[i]);
			double held = held(user, HORIZONS[i]);
			this.means[i] += running * held;
			this.variances[i] += running * (1 - running) * held * held;
		}
	}

	/**
	 * Return whether a candidate fits beside what runs.
	 * @param candidate the candidate
	 * @param capacityTokens the engine's memory in tokens
	 * @return {@code true} if the chance of outgrowing the memory stays under the bound
	 */
	public boolean fits(MemoryUser candidate, long capacityTokens) {
		if (this.ceiling + ceiling(candidate) <= capacityTokens) {
			return true;
		}
		double survivalNow = survivalNow(candidate);
		for (int i = 0; i < HORIZONS.length; i++) {
			double running = probability(candidate, survivalNow, HORIZONS[i]);
			double held = held(candidate, HORIZONS[i]);
			double mean = this.means[i] + running * held;
			double variance = this.variances[i] + running * (1 - running) * held * held;
			if (mean + this.deviations * Math.sqrt(variance) > capacityTokens) {
				return false;
			}
		}
		return true;
	}

	private double survivalNow(MemoryUser user) {
		return this.lengths.survival(user.lengthClass(), user.outputTokens());
	}

	private double probability(MemoryUser user, double survivalNow, int horizon) {
		if (horizon == 0) {
			return CERTAINLY_RUNNING;
		}
		int length = user.outputTokens() + horizon;
		if (length >= user.maxTokens()) {
			return 0;
		}
		if (survivalNow <= 0) {
			return 0;
		}
		return Math.min(1, this.lengths.survival(user.lengthClass(), length) / survivalNow);
	}

	private static long ceiling(MemoryUser user) {
		return (long) user.promptTokens() + user.maxTokens();
	}

	private static double held(MemoryUser user, int horizon) {
		return (double) user.promptTokens() + Math.min(user.maxTokens(), user.outputTokens() + horizon);
	}

}
