package dev.laneworks.entry.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;

import io.undertow.server.HttpServerExchange;
import org.tinylog.Logger;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writer of a response body of unknown length. Used on the I/O thread alone.
 */
final class StreamWriter {

	/** Limits the memory for a caller that reads slowly. */
	private static final long MAX_QUEUED_BYTES = 1024 * 1024;

	private final HttpServerExchange exchange;

	private final StreamSinkChannel channel;

	private final Runnable writeFailed;

	private final OutputBacklog backlog;

	private final Deque<ByteBuffer> queue = new ArrayDeque<>();

	private long queuedBytes;

	private boolean endRequested;

	private boolean closed;

	StreamWriter(HttpServerExchange exchange, OutputBacklog backlog, Runnable writeFailed) {
		this.exchange = exchange;
		this.backlog = backlog;
		this.writeFailed = writeFailed;
		this.channel = exchange.getResponseChannel();
		this.channel.getWriteSetter().set((c) -> flush());
		// Covers connections that close without a failed write.
		exchange.addExchangeCompleteListener((e, next) -> {
			discard();
			next.proceed();
		});
	}

	void write(byte[] data) {
		if (this.closed || this.endRequested) {
			return;
		}
		this.queue.add(ByteBuffer.wrap(data));
		addQueuedBytes(data.length);
		if (this.queuedBytes > MAX_QUEUED_BYTES) {
			fail();
			return;
		}
		if (this.queue.size() == 1) {
			flush();
		}
	}

	void end() {
		this.endRequested = true;
		flush();
	}

	/**
	 * Close the connection so that the caller detects the truncated body.
	 */
	void cut() {
		discard();
		IoUtils.safeClose(this.exchange.getConnection());
	}

	private void discard() {
		this.closed = true;
		this.queue.clear();
		addQueuedBytes(-this.queuedBytes);
	}

	private void addQueuedBytes(long count) {
		this.queuedBytes += count;
		this.backlog.add(count);
	}

	private void flush() {
		if (this.closed) {
			return;
		}
		try {
			while (!this.queue.isEmpty()) {
				ByteBuffer next = this.queue.peek();
				int written = this.channel.write(next);
				addQueuedBytes(-written);
				if (next.hasRemaining()) {
					this.channel.resumeWrites();
					return;
				}
				this.queue.remove();
			}
			if (!this.endRequested) {
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
		// A later turn has no other handler.
		catch (RuntimeException | Error ex) {
			Logger.error(ex, "a stream cannot be written");
			fail();
		}
	}

	private void finish() throws IOException {
		this.closed = true;
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
		discard();
		IoUtils.safeClose(this.exchange.getConnection());
		this.writeFailed.run();
	}

}
