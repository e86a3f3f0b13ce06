package dev.laneworks.core.poison;

/**
 * Fixed-size record of requests that completed recently.
 * <p>
 * A request replaces an earlier one with the same slot.
 */
final class CompletedRequests {

	/** The number of slots; a power of two. */
	private static final int SLOTS = 8_192;

	private final long[] slots = new long[SLOTS];

	void add(RequestDigest digest) {
		this.slots[slot(digest)] = fingerprint(digest);
	}

	boolean contains(RequestDigest digest) {
		return this.slots[slot(digest)] == fingerprint(digest);
	}

	private static int slot(RequestDigest digest) {
		return (int) (digest.high() ^ digest.account()) & (SLOTS - 1);
	}

	// Never zero, which marks an empty slot.
	private static long fingerprint(RequestDigest digest) {
		long fingerprint = digest.low() ^ Long.rotateLeft(digest.account(), 1);
		return (fingerprint != 0) ? fingerprint : 1;
	}

}
