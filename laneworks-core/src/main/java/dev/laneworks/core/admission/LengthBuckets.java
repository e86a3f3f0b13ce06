package dev.laneworks.core.admission;

/**
 * Mapping of output lengths to buckets of logarithmic width, four for each doubling.
 */
final class LengthBuckets {

	/** Number of buckets. The last one holds all lengths from about 100,000 tokens. */
	static final int COUNT = 68;

	private static final int[] LOWER_BOUNDS = lowerBounds();

	private LengthBuckets() {
	}

	/**
	 * Return the bucket of a length.
	 * @param length the length in tokens
	 * @return the bucket from 0 to {@link #COUNT} - 1
	 */
	static int of(long length) {
		if (length < 4) {
			return (int) Math.max(0, length);
		}
		int log = 63 - Long.numberOfLeadingZeros(length);
		int quarter = (int) (length >>> (log - 2)) & 3;
		return Math.min(COUNT - 1, (log - 1) * 4 + quarter);
	}

	/**
	 * Return the lower bound of a bucket.
	 * @param bucket the bucket from 0 to {@link #COUNT}
	 * @return the smallest length of the bucket in tokens
	 */
	static int lower(int bucket) {
		return LOWER_BOUNDS[bucket];
	}

	private static int[] lowerBounds() {
		int[] lower = new int[COUNT + 1];
		for (int bucket = 0; bucket <= COUNT; bucket++) {
			int log = bucket / 4 + 1;
			lower[bucket] = (bucket < 4) ? bucket : (4 + bucket % 4) << (log - 2);
		}
		return lower;
	}

}
