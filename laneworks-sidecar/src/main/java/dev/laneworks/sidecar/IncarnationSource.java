package dev.laneworks.sidecar;

import java.security.SecureRandom;

/**
 * Gives each process an incarnation of its own.
 */
final class IncarnationSource {

	private IncarnationSource() {
	}

	// Random, since an instance without a disk can't count; 0 stands for none.
	static long next() {
		long value = new SecureRandom().nextLong();
		return (value != 0) ? value : 1;
	}

}
