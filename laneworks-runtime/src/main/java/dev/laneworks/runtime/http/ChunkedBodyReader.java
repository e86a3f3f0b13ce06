package dev.laneworks.runtime.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Checks the chunks and the trailer fields of a body as it is received (RFC 9112, section
 * 7.1).
 * <p>
 * The HTTP parser skips what follows the data of a chunk up to the next line feed, and
 * takes whatever it finds there as the next size. Here each size, extension, chunk and
 * trailer field must end with CR LF, without other bytes between. A line feed alone is
 * not enough: behind a size that is wrongly zero, a server-sent event would be read as
 * trailer fields.
 */
final class ChunkedBodyReader {

	/** Far above any body; the parser keeps flags in the bits above. */
	private static final long MAX_CHUNK_BYTES = 1L << 48;

	/** Chunks of a buffered body above this size are passed on as they are received. */
	private static final int MAX_HELD_BYTES = 32 * 1024;

	/** The largest chunk of a body whose parts are used before its end. */
	private static final int MAX_STREAMED_CHUNK_BYTES = 1024 * 1024;

	private static final int RADIX = 16;

	private final boolean isStreamed;

	private final ByteArrayOutputStream trailer = new ByteArrayOutputStream();

	private State state = State.SIZE_START;

	/** Bytes of the current chunk that have not been received yet. */
	private long remaining;

	private int unverifiedBytes;

	private boolean isLargeChunk;

	/**
	 * Create a reader of one body.
	 * @param isStreamed whether parts of the body are used before its end, so that no
	 * byte may be passed on before the end of its chunk; larger chunks than can be held
	 * fail
	 */
	ChunkedBodyReader(boolean isStreamed) {
		this.isStreamed = isStreamed;
	}

	/**
	 * Determine whether the next byte belongs to the data of a chunk.
	 * @return {@code false} within the framing of the chunks
	 */
	boolean isInData() {
		return this.state == State.DATA;
	}

	/**
	 * Return how many of the last bytes belong to a chunk, or to trailer fields, whose
	 * end has not been received. A wrong size is known only there.
	 * @return the number of bytes; 0 within a large chunk
	 */
	int unverifiedBytes() {
		return this.unverifiedBytes;
	}

	/**
	 * Accept the next bytes of the body, and ignore those behind its end.
	 * @param received the bytes; its position is advanced to its limit
	 * @throws MalformedResponseException if a valid body does not continue so
	 */
	void accept(ByteBuffer received) throws MalformedResponseException {
		while (received.hasRemaining()) {
			if (this.state == State.COMPLETE) {
				received.position(received.limit());
			}
			else if (this.state == State.DATA) {
				skipData(received);
			}
			else {
				this.unverifiedBytes++;
				accept(received.get());
			}
		}
	}

	private void skipData(ByteBuffer received) {
		int count = (int) Math.min(this.remaining, received.remaining());
		received.position(received.position() + count);
		this.remaining -= count;
		this.unverifiedBytes += this.isLargeChunk ? 0 : count;
		if (this.remaining == 0) {
			this.state = State.DATA_RETURN;
		}
	}

	private void accept(byte value) throws MalformedResponseException {
		switch (this.state) {
			case SIZE_START, SIZE -> acceptSize(value);
			case SIZE_PADDING -> acceptBehindSize(value);
			case EXTENSION -> acceptExtension(value);
			case SIZE_FEED -> {
				require(value == '\n');
				startData();
			}
			case DATA_RETURN -> {
				require(value == '\r');
				this.state = State.DATA_FEED;
			}
			case DATA_FEED -> {
				require(value == '\n');
				endPart(State.SIZE_START);
			}
			default -> acceptTrailer(value);
		}
	}

	private void acceptSize(byte value) throws MalformedResponseException {
		int digit = Character.digit(value, RADIX);
		if (digit < 0) {
			require(this.state == State.SIZE);
			acceptBehindSize(value);
			return;
		}
		this.remaining = this.remaining * RADIX + digit;
		require(this.remaining <= MAX_CHUNK_BYTES);
		this.state = State.SIZE;
	}

	private void acceptBehindSize(byte value) throws MalformedResponseException {
		switch (value) {
			case '\r' -> this.state = State.SIZE_FEED;
			case ';' -> this.state = State.EXTENSION;
			default -> {
				require(value == ' ' || value == '\t');
				this.state = State.SIZE_PADDING;
			}
		}
	}

	private void acceptExtension(byte value) throws MalformedResponseException {
		if (value == '\r') {
			this.state = State.SIZE_FEED;
			return;
		}
		require(FieldLine.isTextCharacter(Byte.toUnsignedInt(value)));
	}

	private void startData() throws MalformedResponseException {
		if (this.isStreamed && this.remaining > MAX_STREAMED_CHUNK_BYTES) {
			throw new MalformedResponseException(
					"the server sent a chunk of over " + MAX_STREAMED_CHUNK_BYTES + " bytes in an event stream");
		}
		this.state = (this.remaining > 0) ? State.DATA : State.TRAILER;
		this.isLargeChunk = !this.isStreamed && this.remaining > MAX_HELD_BYTES;
		if (this.isLargeChunk) {
			this.unverifiedBytes = 0;
		}
	}

	private void endPart(State next) {
		this.state = next;
		this.unverifiedBytes = 0;
	}

	private void acceptTrailer(byte value) throws MalformedResponseException {
		if (value != '\n') {
			this.trailer.write(value);
			return;
		}
		String line = this.trailer.toString(StandardCharsets.ISO_8859_1);
		this.trailer.reset();
		require(line.endsWith("\r"));
		if (line.length() == 1) {
			endPart(State.COMPLETE);
		}
		else {
			FieldLine.parse(FieldLine.withoutReturn(line));
		}
	}

	private static void require(boolean isValid) throws MalformedResponseException {
		if (!isValid) {
			throw new MalformedResponseException("the server sent a malformed chunk");
		}
	}

	private enum State {

		SIZE_START, SIZE, SIZE_PADDING, EXTENSION, SIZE_FEED, DATA, DATA_RETURN, DATA_FEED, TRAILER, COMPLETE

	}

}
