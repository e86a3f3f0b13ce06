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
import org.xnio.XnioWorker;

/**
 * Calls HTTP servers, each call on a connection of its own.
 * <p>
 * A connection is never used twice, so that a call that could not connect is known not to
 * have been sent. The servers called stand beside the caller, where a connection costs
 * little. Thread-safe.
 *
 * @since 0.1
 */
public final class HttpCaller {

	private final XnioWorker worker;

	private final ByteBufferPool buffers;

	/**
	 * Create a caller.
	 * @param worker the I/O threads
	 * @param buffers the buffers for bodies
	 */
	public HttpCaller(XnioWorker worker, ByteBufferPool buffers) {
		this.worker = worker;
		this.buffers = buffers;
	}

	/**
	 * Make a call.
	 * @param call the call
	 * @param listener hears of the response
	 * @return a handle to give the call up with
	 */
	public HttpExchange call(HttpCall call, HttpResponseListener listener) {
		return call(call.server(), () -> Optional.of(call), listener);
	}

	/**
	 * Make a call that is decided on when its connection is up.
	 * @param server the server
	 * @param atConnection gives the call right before its first byte goes out; where it
	 * gives none the connection is closed and the listener hears of nothing
	 * @param listener hears of the response
	 * @return a handle to give the call up with
	 */
	public HttpExchange call(URI server, Supplier<Optional<HttpCall>> atConnection, HttpResponseListener listener) {
		HttpExchange exchange = new HttpExchange(atConnection, listener, this.buffers);
		OptionMap options = OptionMap.builder()
			.set(UndertowOptions.ENABLE_HTTP2, false)
			.set(Options.TCP_NODELAY, true)
			.getMap();
		UndertowClient.getInstance().connect(new ClientCallback<ClientConnection>() {

			@Override
			public void completed(ClientConnection connection) {
				exchange.send(connection);
			}

			@Override
			public void failed(IOException ex) {
				exchange.notSent(ex);
			}

		}, server, this.worker, this.buffers, options);
		return exchange;
	}

}
