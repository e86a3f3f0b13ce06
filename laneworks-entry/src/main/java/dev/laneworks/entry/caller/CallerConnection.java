package dev.laneworks.entry.caller;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Connection of a caller whose request has been received, from then until its response is
 * complete.
 * <p>
 * Undertow does not read from a connection during that time and therefore does not detect
 * its closing before a write fails. This class reads from the connection and returns the
 * bytes of pipelined requests to it. A caller that closes only its sending side counts as
 * disconnected. Used on the I/O thread of the connection alone.
 *
 * @since 0.5
 */
public final class CallerConnection {

	/**
	 * Upper limit for the bytes of pipelined requests that are read ahead. A
	 * disconnection behind more of them is not detected until the response is complete.
	 */
	private static final int MAX_PIPELINED_BYTES = 64 * 1024;

	private final HttpServerExchange exchange;

	private Runnable disconnectListener = () -> {
	};

	private boolean closed;

	/**
	 * Create a connection that is not watched yet.
	 * @param exchange the exchange, whose request has been received completely
	 */
	public CallerConnection(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Watch for the disconnection of the caller until the response is complete.
	 * @param listener called once, before the connection is closed on this side
	 */
	public void watch(Runnable listener) {
		this.disconnectListener = listener;
		if (!(this.exchange.getConnection() instanceof HttpServerConnection connection)) {
			return;
		}
		ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
		ChannelListener<? super ConduitStreamSourceChannel> requestReader = source.getReadListener();
		source.setReadListener((c) -> handleReadable(connection));
		connection.getOriginalSourceConduit().resumeReads();
		this.exchange.addExchangeCompleteListener((e, next) -> {
			connection.getOriginalSourceConduit().suspendReads();
			source.setReadListener(requestReader);
			reportIfClosed(connection);
			next.proceed();
		});
	}

	/**
	 * Determine whether the caller has disconnected, including a close that has been
	 * received but not been reported to the listener yet. To be called before work is
	 * started for the caller.
	 * @return {@code true} if the caller does not wait for the response any more
	 */
	public boolean isClosed() {
		if (!this.closed && !this.exchange.isComplete()
				&& this.exchange.getConnection() instanceof HttpServerConnection connection
				&& isEndOfInput(connection)) {
			this.closed = true;
			this.disconnectListener.run();
			IoUtils.safeClose(connection);
		}
		return this.closed;
	}

	private void handleReadable(HttpServerConnection connection) {
		if (!isClosed() && pipelinedBytes(connection) >= MAX_PIPELINED_BYTES) {
			connection.getOriginalSourceConduit().suspendReads();
		}
	}

	// Covers connections that were closed because a write failed. The listener runs in a
	// later turn, since an exchange may complete within a call of its owner.
	private void reportIfClosed(HttpServerConnection connection) {
		if (!this.closed && !connection.isOpen()) {
			this.closed = true;
			this.exchange.getIoThread().execute(this.disconnectListener);
		}
	}

	private static boolean isEndOfInput(HttpServerConnection connection) {
		while (pipelinedBytes(connection) < MAX_PIPELINED_BYTES) {
			PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
			int count = read(connection, pooled.getBuffer());
			if (count <= 0) {
				pooled.close();
				return count < 0;
			}
			pooled.getBuffer().flip();
			appendPipelined(connection, pooled);
		}
		return false;
	}

	private static int pipelinedBytes(HttpServerConnection connection) {
		PooledByteBuffer pipelined = connection.getExtraBytes();
		return (pipelined != null) ? pipelined.getBuffer().remaining() : 0;
	}

	// HttpServerConnection.ungetRequestBytes would put the bytes before those that were
	// read earlier.
	private static void appendPipelined(HttpServerConnection connection, PooledByteBuffer next) {
		PooledByteBuffer earlier = connection.getExtraBytes();
		if (earlier == null) {
			connection.setExtraBytes(next);
			return;
		}
		ByteBuffer joined = ByteBuffer.allocate(earlier.getBuffer().remaining() + next.getBuffer().remaining());
		joined.put(earlier.getBuffer()).put(next.getBuffer()).flip();
		earlier.close();
		next.close();
		connection.setExtraBytes(new ImmediatePooledByteBuffer(joined));
	}

	private static int read(HttpServerConnection connection, ByteBuffer buffer) {
		try {
			return connection.getOriginalSourceConduit().read(buffer);
		}
		catch (IOException ex) {
			// A reset connection is closed as well.
			return -1;
		}
	}

}
