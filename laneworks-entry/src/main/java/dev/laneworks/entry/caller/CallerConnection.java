package dev.laneworks.entry.caller;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;

/**
 * Connection of a caller whose request has been received, from then until its response
 * starts.
 * <p>
 * Undertow does not read from a connection between the end of a request and the start of
 * its response and therefore does not detect its closing. This class reads from the
 * connection and returns the bytes of a pipelined request to it. Used on the I/O thread
 * of the connection alone.
 *
 * @since 0.5
 */
public final class CallerConnection {

	private static final long POLL_INTERVAL_MILLIS = 250;

	private final HttpServerExchange exchange;

	private Runnable disconnectListener = () -> {
	};

	private boolean pipelined;

	private boolean closed;

	/**
	 * Create a connection that is not watched yet.
	 * @param exchange the exchange, whose request has been received completely
	 */
	public CallerConnection(HttpServerExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Watch for the disconnection of the caller.
	 * @param listener called once, before the connection is closed on this side
	 */
	public void watch(Runnable listener) {
		this.disconnectListener = listener;
		schedulePoll();
	}

	/**
	 * Determine whether the caller has disconnected, including a close that has been
	 * received but not been reported to the listener yet. To be called before work is
	 * started for the caller.
	 * @return {@code true} if the caller does not wait for the response any more
	 */
	public boolean isClosed() {
		if (!this.closed && isReadable() && read() < 0) {
			this.closed = true;
			this.disconnectListener.run();
			IoUtils.safeClose(this.exchange.getConnection());
		}
		return this.closed;
	}

	private boolean isReadable() {
		return !this.pipelined && !this.exchange.isComplete() && !this.exchange.isResponseStarted()
				&& this.exchange.getConnection() instanceof HttpServerConnection;
	}

	private void schedulePoll() {
		this.exchange.getIoThread().executeAfter(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void poll() {
		if (!isClosed() && isReadable()) {
			schedulePoll();
		}
	}

	private int read() {
		HttpServerConnection connection = (HttpServerConnection) this.exchange.getConnection();
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		int count = read(connection, pooled);
		if (count > 0) {
			this.pipelined = true;
			pooled.getBuffer().flip();
			connection.ungetRequestBytes(pooled);
		}
		else {
			pooled.close();
		}
		return count;
	}

	private static int read(HttpServerConnection connection, PooledByteBuffer pooled) {
		try {
			return connection.getOriginalSourceConduit().read(pooled.getBuffer());
		}
		catch (IOException ex) {
			// A reset connection is closed as well.
			return -1;
		}
	}

}
