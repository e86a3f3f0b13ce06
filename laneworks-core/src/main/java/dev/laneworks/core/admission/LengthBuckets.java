package dev.laneworks.core.admission;

/**
 * Maps output lengths to buckets whose width grows with the length, four to a doubling.
 */
final class LengthBuckets {

	/** The number of buckets; the last holds all lengths from about 100,000 tokens on. */
	static final int COUNT = 68;

	private static final int[] LOWER = lowerBounds();

	private LengthBuckets() {
	}

	/**
	 * Return the bucket of a length.
	 * @param length the length in tokens
	 * @return the index
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
	 * Return the least length of a bucket.
	 * @param bucket the index, up to {@link #COUNT} itself
	 * @return the length in tokens
	 */
	static int lower(int bucket) {
		return LOWER[bucket];
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
