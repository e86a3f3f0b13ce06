package dev.laneworks.core.speed;

/**
 * Moving average of a duration whose first samples weigh equally. Not thread-safe.
 */
final class LearnedMean {

	/** Factor by which a single sample may exceed the mean; limits outliers. */
	private static final double MAX_DEVIATION = 4;

	private final double minWeight;

	private double mean;

	private int samples;

	LearnedMean(double minWeight) {
		this.minWeight = minWeight;
	}

	void add(double sample) {
		if (this.mean <= 0) {
			replace(sample);
			return;
		}
		this.samples++;
		double bounded = Math.min(sample, this.mean * MAX_DEVIATION);
		this.mean += Math.max(this.minWeight, 1.0 / this.samples) * (bounded - this.mean);
	}

	void replace(double newMean) {
		this.mean = newMean;
		this.samples++;
	}

	boolean isKnown() {
		return this.mean > 0;
	}

	// 0 without samples.
	double mean() {
		return this.mean;
	}

}
