package dev.laneworks.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Limits the bytes that a server sends without completing the head of a response or a
 * further part of its body.
 * <p>
 * The HTTP parser collects a head of any length, and reads in one turn of the I/O thread
 * whatever the server sends meanwhile. Used on the I/O thread of one connection.
 */
final class ResponseByteLimit {

	private final int maxBytes;

	private long bytes;

	/**
	 * Create a limit.
	 * @param maxBytes the maximum number of bytes between two parts of a response
	 */
	ResponseByteLimit(int maxBytes) {
		this.maxBytes = maxBytes;
	}

	// Record that the head or a part of the body is complete.
	void recordProgress() {
		this.bytes = 0;
	}

	/**
	 * Apply this limit to a connection.
	 * @param source the conduit from which the connection reads
	 * @return a conduit that fails beyond the limit
	 */
	StreamSourceConduit apply(StreamSourceConduit source) {
		return new LimitedConduit(source);
	}

	private long count(long read) throws IOException {
		this.bytes += Math.max(0, read);
		if (this.bytes > this.maxBytes) {
			throw new IOException("the server sent " + this.bytes + " bytes that are no part of a response");
		}
		return read;
	}

	private final class LimitedConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

		LimitedConduit(StreamSourceConduit next) {
			super(next);
		}

		@Override
		public int read(ByteBuffer dst) throws IOException {
			return (int) count(super.read(dst));
		}

		@Override
		public long read(ByteBuffer[] dsts, int offs, int len) throws IOException {
			return count(super.read(dsts, offs, len));
		}

		@Override
		public long transferTo(long position, long count, FileChannel target) throws IOException {
			return count(super.transferTo(position, count, target));
		}

		@Override
		public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
			return count(super.transferTo(count, throughBuffer, target));
		}

	}

}
