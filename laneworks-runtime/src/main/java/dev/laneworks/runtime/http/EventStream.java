package dev.laneworks.runtime.http;

import java.io.IOException;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventHandler;

/**
 * Server side of a response of server-sent events.
 * <p>
 * Thread-safe. Events are sent in submission order.
 *
 * @since 0.1
 */
public final class EventStream {

	private final ServerSentEventConnection connection;

	private EventStream(ServerSentEventConnection connection) {
		this.connection = connection;
	}

	/**
	 * Open an event stream as the response of an exchange.
	 * @param exchange the exchange, which must be dispatched and have its status set
	 * @param opened receives the stream when the response head is being sent
	 */
	public static void open(HttpServerExchange exchange, Consumer<EventStream> opened) {
		ServerSentEventHandler handler = new ServerSentEventHandler(
				(c, lastEventId) -> opened.accept(new EventStream(c)));
		exchange.dispatch(exchange.getIoThread(), handler::handleRequest);
	}

	/**
	 * Send an event.
	 * @param id the event's id, or {@code null}
	 * @param data the event's data
	 * @param written runs after the event was passed to the operating system; never
	 * called if the connection fails first
	 */
	public void send(String id, String data, Runnable written) {
		this.connection.send(data, null, id, new ServerSentEventConnection.EventCallback() {

			@Override
			public void done(ServerSentEventConnection c, String d, String e, String i) {
				written.run();
			}

			@Override
			public void failed(ServerSentEventConnection c, String d, String e, String i, IOException ex) {
				// The close task reports the failure.
			}

		});
	}

	/**
	 * Send an event without an id and without a callback.
	 * @param data the event's data
	 */
	public void send(String data) {
		this.connection.send(data);
	}

	/**
	 * End the stream after all submitted events were sent.
	 */
	public void end() {
		this.connection.shutdown();
	}

	/**
	 * Register a task that runs when either side closes the stream.
	 * @param task the task; may run on any thread
	 */
	public void onClose(Runnable task) {
		this.connection.addCloseTask((c) -> task.run());
	}

}
