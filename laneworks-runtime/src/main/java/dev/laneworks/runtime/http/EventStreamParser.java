package dev.laneworks.runtime.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Splits a body of server-sent events into the data of its events.
 * <p>
 * Only the {@code data} fields are kept, which is all that engines use. Not thread-safe.
 *
 * @since 0.1
 */
public final class EventStreamParser {

	private static final String DATA = "data:";

	private final Consumer<String> events;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private boolean hasData;

	/**
	 * Create a parser.
	 * @param events takes the data of each event
	 */
	public EventStreamParser(Consumer<String> events) {
		this.events = events;
	}

	/**
	 * Take a part of the body.
	 * @param part the part
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
		else if (text.startsWith(DATA)) {
			if (this.hasData) {
				this.data.append('\n');
			}
			int start = text.startsWith(" ", DATA.length()) ? DATA.length() + 1 : DATA.length();
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
