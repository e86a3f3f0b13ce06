package dev.laneworks.core.headroom;

/**
 * Exponentially weighted mean that starts from an assumed value. Not thread-safe.
 */
final class LearnedMean {

	/**
	 * Number of samples up to which all count alike; newer ones weigh more from then on.
	 */
	private static final int MAX_SAMPLES = 20;

	/**
	 * Number of samples that the assumed value counts as; bounds the effect of an unusual
	 * first sample.
	 */
	private static final int ASSUMED_SAMPLES = 4;

	private int samples = ASSUMED_SAMPLES;

	private double value;

	LearnedMean(double assumed) {
		this.value = assumed;
	}

	void record(double sample) {
		this.samples = Math.min(MAX_SAMPLES, this.samples + 1);
		this.value += (sample - this.value) / this.samples;
	}

	double value() {
		return this.value;
	}

}
