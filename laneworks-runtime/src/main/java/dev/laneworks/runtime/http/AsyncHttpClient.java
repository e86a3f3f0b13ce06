package dev.laneworks.runtime.http;

import java.io.IOException;
import java.net.URI;
import java.util.Optional;
import java.util.function.Supplier;

import io.undertow.UndertowOptions;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Non-blocking HTTP client that opens a new connection for each call.
 * <p>
 * Connections are not reused, so that a call whose connection failed was certainly not
 * sent. The servers are nearby, which makes connections cheap. Thread-safe.
 *
 * @since 0.1
 */
public final class AsyncHttpClient {

	/**
	 * Maximum bytes before the head of a response is complete, or between two parts of
	 * its body; several times the headers and the chunk extensions of any server.
	 */
	private static final int MAX_BYTES_BETWEEN_PARTS = 64 * 1024;

	private final XnioIoThread connector;

	private final ByteBufferPool buffers;

	/**
	 * Create a client.
	 * @param worker the I/O threads that serve the connections
	 * @param buffers the buffer pool for request and response bodies
	 */
	public AsyncHttpClient(XnioWorker worker, ByteBufferPool buffers) {
		this.connector = new LimitingIoThread(worker);
		this.buffers = buffers;
	}

	/**
	 * Send a request.
	 * @param request the request
	 * @param listener receives the response
	 * @return a handle for cancelling the call
	 */
	public HttpExchange send(HttpRequest request, HttpResponseListener listener) {
		return send(request.server(), () -> Optional.of(request), listener);
	}

	/**
	 * Open a connection, then create the request and send it.
	 * @param server the URI of the server
	 * @param callSupplier supplies the request immediately before its first byte is sent;
	 * if it is empty, the connection is closed without a call of the listener
	 * @param listener receives the response
	 * @return a handle for cancelling the call
	 */
	public HttpExchange send(URI server, Supplier<Optional<HttpRequest>> callSupplier, HttpResponseListener listener) {
		ResponseByteLimit limit = new ResponseByteLimit(MAX_BYTES_BETWEEN_PARTS);
		HttpExchange exchange = new HttpExchange(callSupplier, listener, this.buffers, limit);
		connect(server, limit, new ClientCallback<>() {

			@Override
			public void completed(ClientConnection connection) {
				exchange.send(connection);
			}

			@Override
			public void failed(IOException ex) {
				exchange.handleConnectFailure(ex);
			}

		});
		return exchange;
	}

	/**
	 * Open a connection whose request is sent later, if at all.
	 * @param server the URI of the server
	 * @return the connection, which is established later or never
	 * @since 0.9
	 */
	public StandbyConnection open(URI server) {
		ResponseByteLimit limit = new ResponseByteLimit(MAX_BYTES_BETWEEN_PARTS);
		StandbyConnection connection = new StandbyConnection(this.buffers, limit);
		connect(server, limit, connection.callback());
		return connection;
	}

	private void connect(URI server, ResponseByteLimit limit, ClientCallback<ClientConnection> callback) {
		OptionMap options = OptionMap.builder()
			.set(UndertowOptions.ENABLE_HTTP2, false)
			.set(Options.TCP_NODELAY, true)
			.set(LimitingIoThread.LIMIT, limit)
			.getMap();
		UndertowClient.getInstance().connect(callback, server, this.connector, this.buffers, options);
	}

}
