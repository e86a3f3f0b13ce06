package dev.laneworks.core.host;

import dev.laneworks.core.message.StreamId;

/**
 * Attempt that receives the output of a generation, with its position and credit.
 */
final class Reader {

	private final long link;

	private final StreamId stream;

	private long nextOffset;

	private long creditLimit;

	Reader(long link, StreamId stream, long nextOffset, long creditLimit) {
		this.link = link;
		this.stream = stream;
		this.nextOffset = nextOffset;
		this.creditLimit = creditLimit;
	}

	long link() {
		return this.link;
	}

	StreamId stream() {
		return this.stream;
	}

	long nextOffset() {
		return this.nextOffset;
	}

	boolean hasCredit() {
		return this.nextOffset < this.creditLimit;
	}

	void advance() {
		this.nextOffset++;
	}

	void raiseCreditLimit(long limit) {
		this.creditLimit = Math.max(this.creditLimit, limit);
	}

}
