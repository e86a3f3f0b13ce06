package dev.laneworks.runtime.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Incremental parser for server-sent events that returns the data of each event.
 * <p>
 * Fields other than {@code data} are ignored, since engines do not send them. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class EventStreamParser {

	private static final String DATA_FIELD = "data:";

	private final Consumer<String> events;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private boolean hasData;

	/**
	 * Create a parser.
	 * @param events receives the data of each event
	 */
	public EventStreamParser(Consumer<String> events) {
		this.events = events;
	}

	/**
	 * Parse the next part of the body.
	 * @param part the part, which may end within an event or a character; read completely
	 */
	public void accept(ByteBuffer part) {
		while (part.hasRemaining()) {
			byte next = part.get();
			if (next == '\n') {
				endLine();
			}
			else if (next != '\r') {
				this.line.write(next);
			}
		}
	}

	private void endLine() {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.isEmpty()) {
			endEvent();
		}
		else if (text.startsWith(DATA_FIELD)) {
			if (this.hasData) {
				this.data.append('\n');
			}
			int start = text.startsWith(" ", DATA_FIELD.length()) ? DATA_FIELD.length() + 1 : DATA_FIELD.length();
			this.data.append(text, start, text.length());
			this.hasData = true;
		}
	}

	private void endEvent() {
		if (this.hasData) {
			this.events.accept(this.data.toString());
		}
		this.data.setLength(0);
		this.hasData = false;
	}

}
