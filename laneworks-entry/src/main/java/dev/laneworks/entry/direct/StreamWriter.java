package dev.laneworks.entry.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a body of unknown length as it comes. Used on the I/O thread alone.
 */
final class StreamWriter {

	/**
	 * The most bytes kept for a caller that reads slowly; many times what a long stream
	 * has in all.
	 */
	private static final long MAX_QUEUED_BYTES = 1024 * 1024;

	private final HttpServerExchange exchange;

	private final StreamSinkChannel channel;

	private final Runnable broken;

	private final Deque<ByteBuffer> queue = new ArrayDeque<>();

	private long queued;

	private boolean ending;

	private boolean over;

	StreamWriter(HttpServerExchange exchange, Runnable broken) {
		this.exchange = exchange;
		this.broken = broken;
		this.channel = exchange.getResponseChannel();
		this.channel.getWriteSetter().set((c) -> flush());
	}

	void write(byte[] data) {
		if (this.over || this.ending) {
			return;
		}
		this.queue.add(ByteBuffer.wrap(data));
		this.queued += data.length;
		if (this.queued > MAX_QUEUED_BYTES) {
			fail();
			return;
		}
		if (this.queue.size() == 1) {
			flush();
		}
	}

	void end() {
		this.ending = true;
		flush();
	}

	/**
	 * Close the connection, so that the body does not look whole.
	 */
	void cut() {
		this.over = true;
		IoUtils.safeClose(this.exchange.getConnection());
	}

	private void flush() {
		if (this.over) {
			return;
		}
		try {
			while (!this.queue.isEmpty()) {
				ByteBuffer next = this.queue.peek();
				int count = this.channel.write(next);
				this.queued -= count;
				if (next.hasRemaining()) {
					this.channel.resumeWrites();
					return;
				}
				this.queue.remove();
			}
			if (!this.ending) {
				if (!this.channel.flush()) {
					this.channel.resumeWrites();
					return;
				}
				this.channel.suspendWrites();
				return;
			}
			finish();
		}
		catch (IOException ex) {
			fail();
		}
	}

	private void finish() throws IOException {
		this.over = true;
		this.channel.shutdownWrites();
		if (!this.channel.flush()) {
			this.channel.getWriteSetter()
				.set(ChannelListeners.flushingChannelListener((c) -> this.exchange.endExchange(),
						(c, ex) -> IoUtils.safeClose(this.exchange.getConnection())));
			this.channel.resumeWrites();
			return;
		}
		this.exchange.endExchange();
	}

	private void fail() {
		this.over = true;
		IoUtils.safeClose(this.exchange.getConnection());
		this.broken.run();
	}

}
