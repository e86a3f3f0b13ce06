package dev.laneworks.entry.direct;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Optional;

import dev.laneworks.core.dispatch.EventId;

/**
 * Framer that splits the bytes of an event stream into complete events and reads their
 * ids, without changing the bytes.
 * <p>
 * An incomplete event is held back, since a caller must not receive a part of one. Not
 * thread-safe.
 */
final class EventFramer {

	private final EventSink sink;

	private final ByteArrayOutputStream event = new ByteArrayOutputStream();

	private int lineLength;

	private boolean isLineEmpty = true;

	private boolean isFirst = true;

	EventFramer(EventSink sink) {
		this.sink = sink;
	}

	void accept(ByteBuffer data) {
		while (data.hasRemaining()) {
			byte next = data.get();
			this.event.write(next);
			if (next == '\n') {
				endLine();
			}
			else {
				this.isLineEmpty = this.lineLength == 0 && next == '\r';
				this.lineLength++;
			}
		}
	}

	// Return the number of bytes after the last complete event.
	int pendingBytes() {
		return this.event.size();
	}

	// Return the bytes after the last complete event.
	byte[] remainder() {
		return this.event.toByteArray();
	}

	private void endLine() {
		boolean isBlank = this.isLineEmpty;
		this.lineLength = 0;
		this.isLineEmpty = true;
		if (isBlank) {
			byte[] bytes = this.event.toByteArray();
			this.event.reset();
			this.sink.event(bytes, EventFields.read(bytes, this.isFirst).id());
			this.isFirst = false;
		}
	}

	@FunctionalInterface
	interface EventSink {

		/**
		 * Handle a complete event, or comments and other fields that are none.
		 * @param bytes the bytes including the blank line that ends them
		 * @param id the id of the event; empty if the bytes are no event
		 */
		void event(byte[] bytes, Optional<EventId> id);

	}

}
