package dev.laneworks.entry.caller;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;

/**
 * Notices that a caller has closed its connection while no byte of its answer is on the
 * way.
 * <p>
 * Undertow reads nothing from a connection between the end of a request and the start of
 * its response, and so does not hear of its closing. Here the connection is read from now
 * and then; bytes of a next request are given back.
 */
public final class CallerPresence {

	private static final long GAP_MILLIS = 250;

	private final HttpServerExchange exchange;

	private final Runnable left;

	public CallerPresence(HttpServerExchange exchange, Runnable left) {
		this.exchange = exchange;
		this.left = left;
	}

	public void watch() {
		this.exchange.getIoThread().executeAfter(this::look, GAP_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void look() {
		if (this.exchange.isComplete() || this.exchange.isResponseStarted()
				|| !(this.exchange.getConnection() instanceof HttpServerConnection connection)) {
			return;
		}
		PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
		int count = read(connection, pooled);
		if (count > 0) {
			pooled.getBuffer().flip();
			connection.ungetRequestBytes(pooled);
			return;
		}
		pooled.close();
		if (count < 0) {
			this.left.run();
			IoUtils.safeClose(connection);
			return;
		}
		watch();
	}

	private static int read(HttpServerConnection connection, PooledByteBuffer pooled) {
		try {
			return connection.getOriginalSourceConduit().read(pooled.getBuffer());
		}
		catch (IOException ex) {
			return -1;
		}
	}

}
