package dev.laneworks.entry.direct;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Connection of a caller and the progress of the request on it. Used on the I/O thread
 * alone.
 */
final class IngressConnection {

	private final StreamConnection channel;

	private State state = State.IDLE;

	/**
	 * Create a connection that nothing was read from.
	 * @param channel the accepted channel, which no other conduit is installed on yet
	 */
	IngressConnection(StreamConnection channel) {
		this.channel = channel;
		ConduitStreamSourceChannel source = channel.getSourceChannel();
		source.setConduit(new ReadObserver(source.getConduit()));
	}

	// Handle a complete request head.
	void requestReceived(HttpServerExchange exchange) {
		this.state = State.ANSWERING;
		exchange.addExchangeCompleteListener((e, next) -> {
			this.state = stateAfter(e);
			next.proceed();
		});
	}

	/**
	 * Determine whether a part of a request was read, or a whole one, whose answer has
	 * not been written completely.
	 * @return {@code true} if a caller may lose a request when the connection is closed
	 */
	boolean isUnanswered() {
		return this.state == State.READING || this.state == State.ANSWERING;
	}

	boolean isIdle() {
		return this.state == State.IDLE;
	}

	void close() {
		IoUtils.safeClose(this.channel);
	}

	private static State stateAfter(HttpServerExchange exchange) {
		if (!exchange.isPersistent()) {
			return State.CLOSING;
		}
		boolean isPipelining = exchange.getConnection() instanceof HttpServerConnection connection
				&& connection.getExtraBytes() != null;
		return isPipelining ? State.READING : State.IDLE;
	}

	private enum State {

		/** No request was read since the last answer. */
		IDLE,

		/** A part of a request head was read. */
		READING,

		/** A request head was read; its body and its answer may be incomplete. */
		ANSWERING,

		/** The last answer was written; further input is discarded. */
		CLOSING

	}

	/** Detects the first bytes of each request. */
	private final class ReadObserver extends AbstractStreamSourceConduit<StreamSourceConduit> {

		ReadObserver(StreamSourceConduit next) {
			super(next);
		}

		@Override
		public int read(ByteBuffer destination) throws IOException {
			return (int) observe(super.read(destination));
		}

		@Override
		public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
			return observe(super.read(destinations, offset, length));
		}

		@Override
		public long transferTo(long position, long count, FileChannel target) throws IOException {
			return observe(super.transferTo(position, count, target));
		}

		@Override
		public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
			return observe(super.transferTo(count, throughBuffer, target));
		}

		private long observe(long count) {
			if (count > 0 && IngressConnection.this.state == State.IDLE) {
				IngressConnection.this.state = State.READING;
			}
			return count;
		}

	}

}
