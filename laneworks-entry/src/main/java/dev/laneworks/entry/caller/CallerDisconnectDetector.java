package dev.laneworks.entry.caller;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.IoUtils;

/**
 * Detects that a caller has closed its connection before its response starts.
 * <p>
 * Undertow does not read from a connection between the end of a request and the start of
 * its response and therefore does not detect its closing. This class polls the connection
 * and returns the bytes of a pipelined request to it.
 */
public final class CallerDisconnectDetector {

	private static final long POLL_INTERVAL_MILLIS = 250;

	private final HttpServerExchange exchange;

	private final Runnable onDisconnect;

	public CallerDisconnectDetector(HttpServerExchange exchange, Runnable onDisconnect) {
		this.exchange = exchange;
		this.onDisconnect = onDisconnect;
	}

	public void start() {
		this.exchange.getIoThread().executeAfter(this::poll, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void poll() {
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
			this.onDisconnect.run();
			IoUtils.safeClose(connection);
			return;
		}
		start();
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
