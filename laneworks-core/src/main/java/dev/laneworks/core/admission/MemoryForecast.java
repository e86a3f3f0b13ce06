package dev.laneworks.core.admission;

import java.util.Collection;

/**
 * Forecast of the memory use of running generations whose output lengths are unknown.
 * <p>
 * All running generations grow by one token in each step. For several points in the
 * future the forecast sums the mean and the variance of the memory of all generations.
 * With {@code n} output tokens so far, a generation still runs after {@code h} more steps
 * with the probability {@code S(n + h) / S(n)}, where {@code S} is its survival curve. A
 * candidate fits if the mean plus a number of standard deviations stays within the memory
 * at every point. The number of deviations determines the probability of exceeding the
 * memory. Not thread-safe.
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

	/** Total memory in tokens if every generation reaches its maximum length. */
	private long maxMemoryTokens;

	/**
	 * Create a forecast without running generations.
	 * @param lengths the model of output lengths
	 * @param deviations the number of standard deviations kept free, 0 or more
	 */
	public MemoryForecast(LengthModel lengths, double deviations) {
		if (!(deviations >= 0)) {
			throw new IllegalArgumentException("deviations must not be negative but is " + deviations);
		}
		this.lengths = lengths;
		this.deviations = deviations;
	}

	/**
	 * Recompute the forecast for the generations that run now.
	 * @param running the running generations
	 */
	public void refresh(Collection<? extends MemoryUser> running) {
		this.maxMemoryTokens = 0;
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
		this.maxMemoryTokens += maxMemoryTokens(user);
		double survivalNow = survivalNow(user);
		for (int i = 0; i < HORIZONS.length; i++) {
			double running = probabilityRunning(user, survivalNow, HORIZONS[i]);
			double memoryAt = memoryAt(user, HORIZONS[i]);
			this.means[i] += running * memoryAt;
			this.variances[i] += running * (1 - running) * memoryAt * memoryAt;
		}
	}

	/**
	 * Determine whether a candidate fits into the memory with the running generations.
	 * @param candidate the generation to be admitted
	 * @param capacityTokens the memory of the engine in tokens
	 * @return {@code true} if the forecast stays within the memory at every point
	 */
	public boolean fits(MemoryUser candidate, long capacityTokens) {
		if (this.maxMemoryTokens + maxMemoryTokens(candidate) <= capacityTokens) {
			return true;
		}
		double survivalNow = survivalNow(candidate);
		for (int i = 0; i < HORIZONS.length; i++) {
			double running = probabilityRunning(candidate, survivalNow, HORIZONS[i]);
			double memoryAt = memoryAt(candidate, HORIZONS[i]);
			double mean = this.means[i] + running * memoryAt;
			double variance = this.variances[i] + running * (1 - running) * memoryAt * memoryAt;
			if (mean + this.deviations * Math.sqrt(variance) > capacityTokens) {
				return false;
			}
		}
		return true;
	}

	private double survivalNow(MemoryUser user) {
		return this.lengths.survival(user.lengthClass(), user.outputTokens());
	}

	private double probabilityRunning(MemoryUser user, double survivalNow, int horizon) {
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

	private static long maxMemoryTokens(MemoryUser user) {
		return (long) user.promptTokens() + user.maxTokens();
	}

	private static double memoryAt(MemoryUser user, int horizon) {
		return (double) user.promptTokens() + Math.min(user.maxTokens(), user.outputTokens() + horizon);
	}

}
