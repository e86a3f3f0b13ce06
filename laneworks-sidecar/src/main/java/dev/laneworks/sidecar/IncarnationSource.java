package dev.laneworks.sidecar;

import java.security.SecureRandom;

/**
 * Generator of the incarnation number that identifies one process lifetime of a sidecar.
 */
final class IncarnationSource {

	private IncarnationSource() {
	}

	// Random, since an instance without a disk cannot persist a counter; 0 means none.
	static long next() {
		long value = new SecureRandom().nextLong();
		return (value != 0) ? value : 1;
	}

}
