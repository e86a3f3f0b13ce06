package dev.laneworks.runtime.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * Response listener that collects the complete response in memory.
 * <p>
 * A response that is too large is reported with a {@link ResponseTooLargeException} as
 * soon as its length is known; what follows of it is discarded.
 *
 * @since 0.1
 */
public final class ResponseCollector implements HttpResponseListener {

	private final int maxBytes;

	private final Consumer<Either<IOException, Response>> receiver;

	private final Runnable progress;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private HttpResponseHead head = new HttpResponseHead(0, List.of());

	private boolean isReported;

	/**
	 * Create a listener without progress notifications.
	 * @param maxBytes the maximum size of the body, in bytes
	 * @param receiver receives the response or the reason of the failure
	 */
	public ResponseCollector(int maxBytes, Consumer<Either<IOException, Response>> receiver) {
		this(maxBytes, receiver, () -> {
		});
	}

	/**
	 * Create a listener with progress notifications.
	 * @param maxBytes the maximum size of the body, in bytes
	 * @param receiver receives the response or the reason of the failure
	 * @param progress runs when the head or a part of the body has arrived
	 */
	public ResponseCollector(int maxBytes, Consumer<Either<IOException, Response>> receiver, Runnable progress) {
		this.maxBytes = maxBytes;
		this.receiver = receiver;
		this.progress = progress;
	}

	@Override
	public void onConnectFailed(IOException cause) {
		report(Either.left(cause));
	}

	@Override
	public void onHead(HttpResponseHead received) {
		this.head = received;
		this.progress.run();
		if (received.contentLength().orElse(0) > this.maxBytes) {
			report(Either.left(new ResponseTooLargeException(this.maxBytes)));
		}
	}

	@Override
	public void onBody(ByteBuffer data) {
		if (this.isReported) {
			return;
		}
		this.progress.run();
		if (this.body.size() + data.remaining() > this.maxBytes) {
			report(Either.left(new ResponseTooLargeException(this.maxBytes)));
			return;
		}
		byte[] part = new byte[data.remaining()];
		data.get(part);
		this.body.writeBytes(part);
	}

	@Override
	public void onComplete() {
		report(Either.right(new Response(this.head, this.body.toByteArray())));
	}

	@Override
	public void onConnectionBroken(IOException cause) {
		report(Either.left(cause));
	}

	private void report(Either<IOException, Response> result) {
		if (!this.isReported) {
			this.isReported = true;
			this.receiver.accept(result);
		}
	}

	/**
	 * Complete response.
	 *
	 * @param head the status and headers
	 * @param body the bytes of the body; not copied, must not be modified
	 */
	public record Response(HttpResponseHead head, byte[] body) {

		/**
		 * Return the status of the response.
		 * @return the HTTP status code
		 */
		public int status() {
			return this.head.status();
		}

		/**
		 * Return the media type of the body.
		 * @return the value of the {@code Content-Type} header; an empty string if it is
		 * absent
		 */
		public String contentType() {
			return this.head.contentType();
		}

		/**
		 * Return the body as text.
		 * @return the body, decoded as UTF-8
		 */
		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

}
