package dev.laneworks.entry.direct;

/**
 * Number of bytes of all streams that callers' connections have not taken yet. Used on
 * the I/O thread alone.
 */
final class OutputBacklog {

	private long bytes;

	void add(long count) {
		this.bytes += count;
	}

	long bytes() {
		return this.bytes;
	}

}
