package dev.laneworks.core.admission;

/**
 * Survival curve of output lengths with exponentially decaying observations.
 * <p>
 * The weight of an observation halves after a fixed number of later ones. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class SurvivalCurve {

	private static final double RESCALE_ABOVE = 1e100;

	private final double[] weights = new double[LengthBuckets.COUNT];

	/** Total weight at and above each bucket, computed on demand. */
	private final double[] atLeast = new double[LengthBuckets.COUNT + 1];

	private final double growth;

	private double nextWeight = 1;

	private boolean stale;

	/**
	 * Create an empty curve.
	 * @param halfLife the number of observations after which the weight of one has halved
	 */
	public SurvivalCurve(int halfLife) {
		if (halfLife < 1) {
			throw new IllegalArgumentException("halfLife must be at least 1 but is " + halfLife);
		}
		this.growth = Math.pow(2, 1.0 / halfLife);
	}

	/**
	 * Record the length of an output that ended.
	 * @param length the length in tokens
	 */
	public void observe(long length) {
		this.weights[LengthBuckets.of(length)] += this.nextWeight;
		this.nextWeight *= this.growth;
		this.stale = true;
		if (this.nextWeight > RESCALE_ABOVE) {
			rescale();
		}
	}

	/**
	 * Return the effective number of observations.
	 * @return the sum of all weights, where the newest observation has the weight 1
	 */
	public double effectiveCount() {
		refresh();
		return this.atLeast[0] / (this.nextWeight / this.growth);
	}

	/**
	 * Return the share of outputs that are longer than a length.
	 * @param length the length in tokens
	 * @return the share from 0 to 1, or 0 without observations
	 */
	public double survival(long length) {
		refresh();
		if (this.atLeast[0] <= 0) {
			return 0;
		}
		int bucket = LengthBuckets.of(length);
		double above = this.atLeast[bucket + 1];
		double within = this.atLeast[bucket] - above;
		int lower = LengthBuckets.lower(bucket);
		double width = Math.max(1, LengthBuckets.lower(bucket + 1) - lower);
		double remainingShare = Math.max(0, 1 - (length + 1 - lower) / width);
		return (above + within * remainingShare) / this.atLeast[0];
	}

	private void refresh() {
		if (!this.stale) {
			return;
		}
		double sum = 0;
		for (int bucket = LengthBuckets.COUNT - 1; bucket >= 0; bucket--) {
			sum += this.weights[bucket];
			this.atLeast[bucket] = sum;
		}
		this.stale = false;
	}

	private void rescale() {
		for (int bucket = 0; bucket < LengthBuckets.COUNT; bucket++) {
			this.weights[bucket] /= this.nextWeight;
		}
		this.nextWeight = 1;
	}

}
