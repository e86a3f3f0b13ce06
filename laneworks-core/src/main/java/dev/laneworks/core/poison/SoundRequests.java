package dev.laneworks.core.poison;

/**
 * Remembers requests that ran whole lately.
 * <p>
 * Has a fixed size: a request that falls on another's place takes it.
 */
final class SoundRequests {

	/**
	 * How many requests are remembered at the most, a power of two: 64 KB, and some ten
	 * minutes of an entry that serves ten requests a second.
	 */
	private static final int PLACES = 8_192;

	private final long[] places = new long[PLACES];

	void add(RequestDigest digest) {
		this.places[place(digest)] = mark(digest);
	}

	boolean contains(RequestDigest digest) {
		return this.places[place(digest)] == mark(digest);
	}

	private static int place(RequestDigest digest) {
		return (int) (digest.high() ^ digest.caller()) & (PLACES - 1);
	}

	// Never zero, which stands at a place that is empty.
	private static long mark(RequestDigest digest) {
		long mark = digest.low() ^ Long.rotateLeft(digest.caller(), 1);
		return (mark != 0) ? mark : 1;
	}

}
