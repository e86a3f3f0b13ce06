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
 * One call under way.
 *
 * @since 0.1
 */
public final class HttpExchange {

	private final Supplier<Optional<HttpCall>> atConnection;

	private final HttpResponseListener listener;

	private final ByteBufferPool buffers;

	private final AtomicBoolean over = new AtomicBoolean();

	private volatile boolean abandoned;

	private volatile ClientConnection connection;

	private HttpCall call;

	HttpExchange(Supplier<Optional<HttpCall>> atConnection, HttpResponseListener listener, ByteBufferPool buffers) {
		this.atConnection = atConnection;
		this.listener = listener;
		this.buffers = buffers;
	}

	/**
	 * Give the call up: its listener hears of nothing more, and the connection is closed.
	 */
	public void abandon() {
		giveUp(IoUtils::safeClose);
	}

	/**
	 * Give the call up as {@link #abandon()} does, and reset its connection.
	 * <p>
	 * A server may take a plain close for the end of the request alone, and finds out
	 * only when it writes: a run that waits or is read anew would go on beside the one
	 * that takes its place.
	 */
	public void reset() {
		giveUp(HttpExchange::closeByReset);
	}

	private void giveUp(Consumer<ClientConnection> closing) {
		this.abandoned = true;
		this.over.set(true);
		ClientConnection open = this.connection;
		if (open != null) {
			open.getIoThread().execute(() -> closing.accept(open));
		}
	}

	private static void closeByReset(ClientConnection open) {
		try {
			open.setOption(Options.CLOSE_ABORT, true);
		}
		catch (IOException | IllegalArgumentException ex) {
			// A connection that is closed already takes no options.
			Logger.debug("no reset: {}", ex.getMessage());
		}
		IoUtils.safeClose(open);
	}

	void notSent(IOException cause) {
		if (this.over.compareAndSet(false, true)) {
			this.listener.onNotSent(cause);
		}
	}

	void send(ClientConnection open) {
		this.connection = open;
		if (this.abandoned) {
			IoUtils.safeClose(open);
			return;
		}
		Optional<HttpCall> decided = this.atConnection.get();
		if (decided.isEmpty()) {
			this.over.set(true);
			IoUtils.safeClose(open);
			return;
		}
		this.call = decided.get();
		// The end of a body closes the connection before it is reported; what was read
		// comes first.
		open.getCloseSetter()
			.set((c) -> open.getIoThread().execute(() -> broken(new IOException("the server closed the connection"))));
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
			broken(ex);
		}
	}

	private ChannelExceptionHandler<StreamSinkChannel> flushFailed() {
		return (c, ex) -> broken(ex);
	}

	private void responseReady(ClientExchange exchange) {
		if (this.over.get()) {
			return;
		}
		this.listener.onHead(head(exchange.getResponse()));
		StreamSourceChannel channel = exchange.getResponseChannel();
		ChannelListener<StreamSourceChannel> reader = this::readBody;
		channel.getReadSetter().set(reader);
		reader.handleEvent(channel);
		if (!this.over.get()) {
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
			while (!this.over.get()) {
				buffer.clear();
				int count = channel.read(buffer);
				if (count == 0) {
					return;
				}
				if (count < 0) {
					ended();
					return;
				}
				buffer.flip();
				this.listener.onBody(buffer);
			}
		}
		catch (IOException ex) {
			broken(ex);
		}
	}

	private void ended() {
		if (this.over.compareAndSet(false, true)) {
			this.listener.onEnd();
		}
		IoUtils.safeClose(this.connection);
	}

	private void broken(IOException cause) {
		if (this.over.compareAndSet(false, true)) {
			this.listener.onBroken(cause);
		}
		IoUtils.safeClose(this.connection);
	}

	private ClientCallback<ClientExchange> callback(Consumer<ClientExchange> next) {
		return new ClientCallback<>() {

			@Override
			public void completed(ClientExchange exchange) {
				next.accept(exchange);
			}

			@Override
			public void failed(IOException ex) {
				broken(ex);
			}

		};
	}

}
