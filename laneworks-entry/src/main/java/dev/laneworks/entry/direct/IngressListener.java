package dev.laneworks.entry.direct;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import dev.laneworks.runtime.http.IoWorker;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/**
 * Listening socket for callers and the connections that were accepted from it.
 * <p>
 * {@link io.undertow.Undertow} does not tell which of its connections have a request in
 * progress. Used on the I/O thread alone, except for {@link #listen()} and
 * {@link #address()}.
 */
final class IngressListener {

	/** Connections that wait for their acceptance; a start holds all new ones. */
	private static final int BACKLOG = 1_000;

	/** Small, since each connection with an incomplete request holds a buffer. */
	private static final int BUFFER_BYTES = 1024;

	private static final int CACHED_BUFFERS = 4;

	private final IoWorker io;

	private final InetSocketAddress bindAddress;

	private final HttpOpenListener http;

	private final Map<StreamConnection, IngressConnection> connections = new HashMap<>();

	private volatile AcceptingChannel<StreamConnection> server;

	private boolean closed;

	/**
	 * Create a listener that is not bound yet.
	 * @param io the I/O threads
	 * @param address the address to bind to
	 * @param options the options of Undertow's HTTP parser
	 * @param handler the handler of requests
	 */
	IngressListener(IoWorker io, InetSocketAddress address, OptionMap options, HttpHandler handler) {
		this.io = io;
		this.bindAddress = address;
		this.http = new HttpOpenListener(new DefaultByteBufferPool(true, BUFFER_BYTES, -1, CACHED_BUFFERS), options);
		this.http.setRootHandler((exchange) -> {
			find(exchange).requestReceived(exchange);
			handler.handleRequest(exchange);
		});
	}

	/**
	 * Bind the address. Connections wait until {@link #accept()} is called.
	 * @throws UncheckedIOException if the address cannot be bound
	 */
	void listen() {
		OptionMap options = OptionMap.builder()
			.set(Options.TCP_NODELAY, true)
			.set(Options.REUSE_ADDRESSES, true)
			.set(Options.BACKLOG, BACKLOG)
			.getMap();
		ChannelListener<StreamConnection> opened = this::opened;
		try {
			this.server = this.io.worker()
				.createStreamConnectionServer(this.bindAddress, ChannelListeners.openListenerAdapter(opened), options);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen on " + this.bindAddress, ex);
		}
	}

	// Start accepting connections.
	void accept() {
		this.server.resumeAccepts();
	}

	InetSocketAddress address() {
		return this.server.getLocalAddress(InetSocketAddress.class);
	}

	// Return the number of open connections.
	int connections() {
		return this.connections.size();
	}

	// Return the number of connections with a request that was read, at least in part,
	// and has no complete answer.
	int unanswered() {
		return (int) this.connections.values().stream().filter(IngressConnection::isUnanswered).count();
	}

	// Accept no further connections and close those that wait for their acceptance.
	void closeSocket() {
		this.closed = true;
		IoUtils.safeClose(this.server);
	}

	// Close the connections without a request. Data that was not read resets such a
	// connection, from which its caller concludes that the request was not read.
	void closeIdle() {
		List.copyOf(this.connections.values())
			.stream()
			.filter(IngressConnection::isIdle)
			.forEach(IngressConnection::close);
	}

	void closeAll() {
		List.copyOf(this.connections.values()).forEach(IngressConnection::close);
	}

	private IngressConnection find(HttpServerExchange exchange) {
		return this.connections.get(((HttpServerConnection) exchange.getConnection()).getChannel());
	}

	private void opened(StreamConnection channel) {
		// Another thread may have accepted it before the socket was closed.
		if (this.closed) {
			IoUtils.safeClose(channel);
			return;
		}
		this.connections.put(channel, new IngressConnection(channel));
		// Undertow installs its own close listener and may handle a request at once.
		this.http.handleEvent(channel);
		ChannelListener<? super StreamConnection> closeListener = channel.getCloseListener();
		channel.setCloseListener((c) -> {
			this.connections.remove(c);
			ChannelListeners.invokeChannelListener(c, closeListener);
		});
		if (!channel.isOpen()) {
			this.connections.remove(channel);
		}
	}

}
