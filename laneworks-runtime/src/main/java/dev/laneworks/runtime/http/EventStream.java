package dev.laneworks.runtime.http;

import java.io.IOException;
import java.util.function.Consumer;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventHandler;

/**
 * A response of server-sent events under way.
 * <p>
 * Thread-safe; events go out in the order in which they were given.
 *
 * @since 0.1
 */
public final class EventStream {

	private final ServerSentEventConnection connection;

	private EventStream(ServerSentEventConnection connection) {
		this.connection = connection;
	}

	/**
	 * Answer an exchange with a stream of events; the status must be set before.
	 * @param exchange the exchange, which must have been dispatched
	 * @param opened takes the stream once its head is on the way
	 */
	public static void open(HttpServerExchange exchange, Consumer<EventStream> opened) {
		ServerSentEventHandler handler = new ServerSentEventHandler(
				(c, lastEventId) -> opened.accept(new EventStream(c)));
		exchange.dispatch(exchange.getIoThread(), handler::handleRequest);
	}

	/**
	 * Send an event.
	 * @param id the event's identity, or {@code null}
	 * @param data the event's data
	 * @param written runs once the event was handed to the operating system
	 */
	public void send(String id, String data, Runnable written) {
		this.connection.send(data, null, id, new ServerSentEventConnection.EventCallback() {

			@Override
			public void done(ServerSentEventConnection c, String d, String e, String i) {
				written.run();
			}

			@Override
			public void failed(ServerSentEventConnection c, String d, String e, String i, IOException ex) {
				// The close task tells of it.
			}

		});
	}

	/**
	 * Send an event of which nothing more need be known.
	 * @param data the event's data
	 */
	public void send(String data) {
		this.connection.send(data);
	}

	/**
	 * End the stream after the events given before.
	 */
	public void end() {
		this.connection.shutdown();
	}

	/**
	 * Run a task when the stream is closed by either side.
	 * @param task the task
	 */
	public void onClose(Runnable task) {
		this.connection.addCloseTask((c) -> task.run());
	}

}
