package dev.laneworks.entry.direct;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Splits a stream's bytes into whole events and reads their numbers, leaving the bytes as
 * they are.
 * <p>
 * An event that is cut off is held back, since a caller must not see a part of one. Not
 * thread-safe.
 */
final class EventFramer {

	private static final String ID = "id:";

	private final EventSink sink;

	private final ByteArrayOutputStream event = new ByteArrayOutputStream();

	private int lineStart;

	EventFramer(EventSink sink) {
		this.sink = sink;
	}

	void accept(ByteBuffer part) {
		while (part.hasRemaining()) {
			byte next = part.get();
			this.event.write(next);
			if (next == '\n') {
				endLine();
			}
		}
	}

	// Return the bytes behind the last whole event.
	byte[] rest() {
		return this.event.toByteArray();
	}

	private void endLine() {
		byte[] bytes = this.event.toByteArray();
		int length = bytes.length - this.lineStart;
		boolean isBlank = length == 1 || (length == 2 && bytes[this.lineStart] == '\r');
		this.lineStart = bytes.length;
		if (isBlank) {
			this.event.reset();
			this.lineStart = 0;
			this.sink.event(bytes, id(bytes));
		}
	}

	private static OptionalLong id(byte[] bytes) {
		String text = new String(bytes, StandardCharsets.ISO_8859_1);
		return text.lines()
			.filter((l) -> l.startsWith(ID))
			.map((l) -> l.substring(ID.length()).trim())
			.filter((l) -> !l.isEmpty() && l.chars().allMatch(Character::isDigit))
			.mapToLong(Long::parseLong)
			.mapToObj(OptionalLong::of)
			.findFirst()
			.orElse(OptionalLong.empty());
	}

	@FunctionalInterface
	interface EventSink {

		/**
		 * Take a whole event.
		 * @param bytes the event with the blank line that ends it
		 * @param id its number, if it has one
		 */
		void event(byte[] bytes, OptionalLong id);

	}

}
