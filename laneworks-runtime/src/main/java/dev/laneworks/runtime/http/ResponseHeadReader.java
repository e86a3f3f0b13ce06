package dev.laneworks.runtime.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Reads the head of a response byte by byte, with the interim heads before it, and writes
 * each anew in the one form that every parser understands.
 * <p>
 * A line may end with a line feed alone (RFC 9112, section 2.2). Equal lengths become one
 * (section 6.3). Everything else that is not valid fails, also where the standard lets a
 * proxy correct it, since the sender's intention is not known.
 */
final class ResponseHeadReader {

	private static final String LENGTH = "Content-Length";

	private static final String CODING = "Transfer-Encoding";

	private static final String CHUNKED = "chunked";

	private static final String MEDIA_TYPE = "Content-Type";

	private static final String EVENT_STREAM = "text/event-stream";

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder head = new StringBuilder();

	private final StringBuilder completeHeads = new StringBuilder();

	private final List<String> lengths = new ArrayList<>();

	private final List<String> codings = new ArrayList<>();

	/** Null before the first line of a head is complete. */
	private StatusLine statusLine;

	private boolean complete;

	private boolean chunked;

	private boolean hasNoBody;

	private boolean eventStream;

	/**
	 * Determine whether the head of the final response is complete.
	 * @return {@code true} if the next byte does not belong to a head
	 */
	boolean isComplete() {
		return this.complete;
	}

	/**
	 * Determine whether the body of the final response is in chunks.
	 * @return {@code true} if it is; {@code false} before the head is complete
	 */
	boolean isChunked() {
		return this.chunked;
	}

	/**
	 * Determine whether the final response ends with its head.
	 * @return {@code true} if it does; {@code false} before the head is complete
	 */
	boolean hasNoBody() {
		return this.hasNoBody;
	}

	/**
	 * Determine whether a final response has server-sent events as its body, according to
	 * any of its fields.
	 * @return {@code true} if it has; {@code false} before the head is complete
	 */
	boolean isEventStream() {
		return this.complete && this.eventStream;
	}

	/**
	 * Return the heads that have been completed since the last call.
	 * @return the heads as the parser is to read them; empty if there are none
	 */
	byte[] takeHeads() {
		byte[] taken = this.completeHeads.toString().getBytes(StandardCharsets.ISO_8859_1);
		this.completeHeads.setLength(0);
		return taken;
	}

	/**
	 * Accept the next byte of a head.
	 * @param received the byte
	 * @throws MalformedResponseException if a valid head does not continue so
	 */
	void accept(byte received) throws MalformedResponseException {
		if (received == '\n') {
			String content = this.line.toString(StandardCharsets.ISO_8859_1);
			this.line.reset();
			acceptLine(content);
			return;
		}
		if (this.statusLine == null && !StatusLine.isValidAt(this.line.size(), received)) {
			throw StatusLine.malformed();
		}
		this.line.write(received);
	}

	private void acceptLine(String content) throws MalformedResponseException {
		if (this.statusLine == null) {
			this.statusLine = StatusLine.parse(content);
			this.eventStream = false;
			append(this.statusLine.toString());
			return;
		}
		String fieldLine = FieldLine.withoutReturn(content);
		if (fieldLine.isEmpty()) {
			endHead();
		}
		else {
			acceptField(FieldLine.parse(fieldLine));
		}
	}

	private void acceptField(FieldLine field) {
		if (field.name().equalsIgnoreCase(LENGTH)) {
			this.lengths.add(field.value());
		}
		else if (field.name().equalsIgnoreCase(CODING)) {
			this.codings.add(field.value());
		}
		else {
			this.eventStream |= field.name().equalsIgnoreCase(MEDIA_TYPE)
					&& field.value().toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
			append(field.name() + ": " + field.value());
		}
	}

	private void endHead() throws MalformedResponseException {
		appendFraming();
		append("");
		this.completeHeads.append(this.head);
		this.complete = !this.statusLine.isInterim();
		this.hasNoBody = this.statusLine.hasNoBody();
		this.chunked = this.complete && !this.hasNoBody && !this.codings.isEmpty();
		this.head.setLength(0);
		this.lengths.clear();
		this.codings.clear();
		this.statusLine = null;
	}

	// The parser would wait for the body that a field announces, also where there is
	// none.
	private void appendFraming() throws MalformedResponseException {
		Optional<String> framing = framing();
		if (!this.statusLine.hasNoBody()) {
			framing.ifPresent(this::append);
		}
	}

	private Optional<String> framing() throws MalformedResponseException {
		if (!this.codings.isEmpty()) {
			requireChunkedOnly();
			return Optional.of(CODING + ": " + CHUNKED);
		}
		return this.lengths.isEmpty() ? Optional.empty() : Optional.of(LENGTH + ": " + commonLength());
	}

	private void requireChunkedOnly() throws MalformedResponseException {
		if (!this.lengths.isEmpty()) {
			throw new MalformedResponseException("the server sent both a length and a transfer coding");
		}
		if (this.codings.size() > 1 || !this.codings.get(0).equalsIgnoreCase(CHUNKED)) {
			throw new MalformedResponseException("the server sent transfer codings other than chunked alone");
		}
	}

	private long commonLength() throws MalformedResponseException {
		OptionalLong first = ContentLength.parse(this.lengths.get(0));
		if (first.isEmpty()) {
			throw new MalformedResponseException("the server sent a malformed length");
		}
		if (!this.lengths.stream().allMatch((l) -> ContentLength.parse(l).equals(first))) {
			throw new MalformedResponseException("the server sent several lengths");
		}
		return first.getAsLong();
	}

	private void append(String text) {
		this.head.append(text).append("\r\n");
	}

}
