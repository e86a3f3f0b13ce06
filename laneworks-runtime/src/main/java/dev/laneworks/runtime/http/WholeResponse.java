package dev.laneworks.runtime.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * Gathers a response and passes it on whole.
 *
 * @since 0.1
 */
public final class WholeResponse implements HttpResponseListener {

	private final int maxBytes;

	private final Consumer<Either<IOException, Received>> receiver;

	private final Runnable progress;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private int status;

	private String contentType = "";

	private boolean tooLarge;

	/**
	 * Create a listener.
	 * @param maxBytes the largest body accepted, in bytes
	 * @param receiver takes the response, or why there is none
	 */
	public WholeResponse(int maxBytes, Consumer<Either<IOException, Received>> receiver) {
		this(maxBytes, receiver, () -> {
		});
	}

	/**
	 * Create a listener that tells of each part of the response.
	 * @param maxBytes the largest body accepted, in bytes
	 * @param receiver takes the response, or why there is none
	 * @param progress hears that the head or a part of the body has arrived
	 */
	public WholeResponse(int maxBytes, Consumer<Either<IOException, Received>> receiver, Runnable progress) {
		this.maxBytes = maxBytes;
		this.receiver = receiver;
		this.progress = progress;
	}

	@Override
	public void onNotSent(IOException cause) {
		this.receiver.accept(Either.left(cause));
	}

	@Override
	public void onHead(HttpResponseHead head) {
		this.status = head.status();
		this.contentType = head.contentType();
		this.progress.run();
	}

	@Override
	public void onBody(ByteBuffer data) {
		this.progress.run();
		if (this.body.size() + data.remaining() > this.maxBytes) {
			this.tooLarge = true;
			return;
		}
		byte[] part = new byte[data.remaining()];
		data.get(part);
		this.body.writeBytes(part);
	}

	@Override
	public void onEnd() {
		if (this.tooLarge) {
			this.receiver
				.accept(Either.left(new IOException("the response is larger than " + this.maxBytes + " bytes")));
			return;
		}
		this.receiver.accept(Either.right(new Received(this.status, this.contentType, this.body.toByteArray())));
	}

	@Override
	public void onBroken(IOException cause) {
		this.receiver.accept(Either.left(cause));
	}

	/**
	 * A whole response.
	 *
	 * @param status the status code
	 * @param contentType the type of the body, or empty text
	 * @param body the body
	 */
	public record Received(int status, String contentType, byte[] body) {

		/**
		 * Return the body as text.
		 * @return the text
		 */
		public String text() {
			return new String(this.body, StandardCharsets.UTF_8);
		}

	}

}
