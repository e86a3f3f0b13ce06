package dev.laneworks.runtime.http;

import java.io.IOException;
import java.util.Optional;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.connector.ByteBufferPool;
import org.tinylog.Logger;

/**
 * Connection that is opened ahead of its only request.
 * <p>
 * A server that closes it meanwhile is noticed when the request is sent. Not thread-safe:
 * used on the I/O thread alone.
 *
 * @since 0.9
 */
public final class StandbyConnection {

	private final ByteBufferPool buffers;

	private final ResponseByteLimit limit;

	private Optional<ClientConnection> connection = Optional.empty();

	private boolean closed;

	StandbyConnection(ByteBufferPool buffers, ResponseByteLimit limit) {
		this.buffers = buffers;
		this.limit = limit;
	}

	/**
	 * Determine whether the connection is established and unused.
	 * @return {@code true} if a request can be sent
	 */
	public boolean isEstablished() {
		return this.connection.isPresent() && !this.closed;
	}

	/**
	 * Send the request, after which the connection is used up.
	 * @param request the request
	 * @param listener receives the response
	 * @return a handle for cancelling the call
	 * @throws IllegalStateException if the connection is not established or was used
	 */
	public HttpExchange send(HttpRequest request, HttpResponseListener listener) {
		if (!isEstablished()) {
			throw new IllegalStateException("the connection is not established");
		}
		this.closed = true;
		HttpExchange exchange = new HttpExchange(() -> Optional.of(request), listener, this.buffers, this.limit);
		exchange.send(this.connection.get());
		return exchange;
	}

	/**
	 * Close the connection unless it was used.
	 */
	public void close() {
		if (!this.closed) {
			this.closed = true;
			this.connection.ifPresent(HttpExchange::closeAtOnce);
		}
	}

	ClientCallback<ClientConnection> callback() {
		return new ClientCallback<>() {

			@Override
			public void completed(ClientConnection established) {
				StandbyConnection.this.connection = Optional.of(established);
				if (StandbyConnection.this.closed) {
					HttpExchange.closeAtOnce(established);
				}
			}

			@Override
			public void failed(IOException ex) {
				Logger.debug("no connection in advance: {}", ex.getMessage());
			}

		};
	}

}
