package dev.laneworks.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderValues;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import org.tinylog.Logger;
import org.xnio.ChannelExceptionHandler;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.Options;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * Handle of one HTTP call in progress.
 *
 * @since 0.1
 */
public final class HttpExchange {

	/**
	 * Bytes of a body that are read in one turn of the I/O thread, so that a fast server
	 * does not hold up other connections.
	 */
	private static final int MAX_TURN_BYTES = 256 * 1024;

	/**
	 * The lowest status of a final response. Undertow skips an interim one of status 100
	 * only.
	 */
	private static final int MIN_FINAL_STATUS = 200;

	private final Supplier<Optional<HttpRequest>> callSupplier;

	private final HttpResponseListener listener;

	private final ByteBufferPool buffers;

	private final ResponseByteLimit limit;

	private final AtomicBoolean finished = new AtomicBoolean();

	private volatile boolean abandoned;

	private volatile ClientConnection connection;

	private HttpRequest call;

	HttpExchange(Supplier<Optional<HttpRequest>> callSupplier, HttpResponseListener listener, ByteBufferPool buffers,
			ResponseByteLimit limit) {
		this.callSupplier = callSupplier;
		this.listener = listener;
		this.buffers = buffers;
		this.limit = limit;
	}

	/**
	 * Cancel the call without further calls of its listener, and close the connection.
	 */
	public void cancel() {
		cancel((c) -> {
		});
	}

	/**
	 * Cancel the call as {@link #cancel()} does, but reset the connection.
	 * <p>
	 * A server may treat a plain close as the end of the request only and detect the loss
	 * at its next write. A reset stops an execution that writes nothing yet, so that it
	 * does not continue beside its replacement.
	 */
	public void cancelWithReset() {
		cancel(HttpExchange::resetOnClose);
	}

	private void cancel(Consumer<ClientConnection> prepareClose) {
		this.abandoned = true;
		this.finished.set(true);
		ClientConnection open = this.connection;
		if (open != null) {
			open.getIoThread().execute(() -> {
				prepareClose.accept(open);
				closeAtOnce(open);
			});
		}
	}

	private static void resetOnClose(ClientConnection open) {
		try {
			open.setOption(Options.CLOSE_ABORT, true);
		}
		catch (IOException | IllegalArgumentException ex) {
			// The connection is already closed.
			Logger.debug("cannot reset the connection: {}", ex.getMessage());
		}
	}

	// Undertow's own close keeps the socket open for up to ten seconds and reads what the
	// server sends, which therefore works on. An upgrade hands out the socket's
	// connection.
	static void closeAtOnce(ClientConnection open) {
		try {
			IoUtils.safeClose(open.performUpgrade());
		}
		catch (IOException ex) {
			Logger.debug("the connection is closed already: {}", ex.getMessage());
			IoUtils.safeClose(open);
		}
	}

	void handleConnectFailure(IOException cause) {
		if (this.finished.compareAndSet(false, true)) {
			this.listener.onConnectFailed(cause);
		}
	}

	void send(ClientConnection open) {
		this.connection = open;
		if (this.abandoned) {
			closeAtOnce(open);
			return;
		}
		Optional<HttpRequest> supplied = this.callSupplier.get();
		if (supplied.isEmpty()) {
			this.finished.set(true);
			closeAtOnce(open);
			return;
		}
		this.call = supplied.get();
		// Undertow closes the connection at the end of a body before it reports that end.
		// Deferring the handler lets received data be processed first.
		open.getCloseSetter()
			.set((c) -> open.getIoThread()
				.execute(() -> handleBroken(new IOException("the server closed the connection"))));
		ClientRequest request = new ClientRequest().setMethod(new HttpString(this.call.method()))
			.setPath(this.call.path());
		request.getRequestHeaders().put(Headers.HOST, this.call.server().getAuthority());
		this.call.headers()
			.stream()
			.map(HttpHeader::name)
			.distinct()
			.forEach((n) -> request.getRequestHeaders().remove(n));
		this.call.headers().forEach((h) -> request.getRequestHeaders().add(new HttpString(h.name()), h.value()));
		request.getRequestHeaders().put(Headers.CONNECTION, "close");
		if (this.call.body().length > 0 || this.call.method().equals("POST")) {
			request.getRequestHeaders().put(Headers.CONTENT_LENGTH, this.call.body().length);
		}
		open.sendRequest(request, callback(this::requestReady));
	}

	private void requestReady(ClientExchange exchange) {
		exchange.setResponseListener(callback(this::responseReady));
		if (this.call.body().length == 0) {
			return;
		}
		writeBody(exchange.getRequestChannel(), ByteBuffer.wrap(this.call.body()));
	}

	private void writeBody(StreamSinkChannel channel, ByteBuffer body) {
		try {
			while (body.hasRemaining()) {
				if (channel.write(body) == 0) {
					channel.getWriteSetter().set((c) -> writeBody(c, body));
					channel.resumeWrites();
					return;
				}
			}
			channel.suspendWrites();
			channel.shutdownWrites();
			if (!channel.flush()) {
				channel.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, flushFailed()));
				channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			handleBroken(ex);
		}
	}

	private ChannelExceptionHandler<StreamSinkChannel> flushFailed() {
		return (c, ex) -> handleBroken(ex);
	}

	private void responseReady(ClientExchange exchange) {
		if (this.finished.get()) {
			return;
		}
		this.limit.recordProgress();
		HttpResponseHead head = head(exchange.getResponse());
		if (head.status() < MIN_FINAL_STATUS) {
			resetOnClose(this.connection);
			handleBroken(new IOException("status " + head.status() + " is not that of a final answer"));
			return;
		}
		this.listener.onHead(head);
		StreamSourceChannel channel = exchange.getResponseChannel();
		ChannelListener<StreamSourceChannel> reader = this::readBody;
		channel.getReadSetter().set(reader);
		reader.handleEvent(channel);
		if (!this.finished.get()) {
			channel.resumeReads();
		}
	}

	private static HttpResponseHead head(ClientResponse response) {
		List<HttpHeader> headers = new ArrayList<>();
		for (HeaderValues values : response.getResponseHeaders()) {
			values.forEach((v) -> headers.add(new HttpHeader(values.getHeaderName().toString(), v)));
		}
		return new HttpResponseHead(response.getResponseCode(), headers);
	}

	private void readBody(StreamSourceChannel channel) {
		try (PooledByteBuffer pooled = this.buffers.allocate()) {
			ByteBuffer buffer = pooled.getBuffer();
			int turnBytes = 0;
			while (!this.finished.get()) {
				if (turnBytes >= MAX_TURN_BYTES) {
					channel.wakeupReads();
					return;
				}
				buffer.clear();
				int count = channel.read(buffer);
				if (count == 0) {
					return;
				}
				if (count < 0) {
					handleEnd();
					return;
				}
				buffer.flip();
				turnBytes += count;
				this.limit.recordProgress();
				this.listener.onBody(buffer);
			}
		}
		catch (IOException ex) {
			handleBroken(ex);
		}
	}

	private void handleEnd() {
		if (this.finished.compareAndSet(false, true)) {
			this.listener.onComplete();
		}
		IoUtils.safeClose(this.connection);
	}

	private void handleBroken(IOException cause) {
		if (this.finished.compareAndSet(false, true)) {
			this.listener.onConnectionBroken(cause);
		}
		closeAtOnce(this.connection);
	}

	private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
		return new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				next.accept(exchange);
			}

			@Override
			public void failed(IOException ex) {
				handleBroken(ex);
			}

		};
	}

}
