package dev.laneworks.entry.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EventFramer}.
 */
class EventFramerTests {

	private static final String STREAM = "id: 0\ndata: a\n\n: comment\r\n\r\nid: 12\r\ndata: b\r\n\r\nid: 13\ndata: cut";

	private final List<String> events = new ArrayList<>();

	private final EventFramer framer = new EventFramer(
			(b, id) -> this.events.add((id.isPresent() ? id.getAsLong() : "-") + " " + b.length));

	@Test
	void framesEqualEventsForEverySplitAndWithholdsAnIncompleteEvent() {
		byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
		this.framer.accept(ByteBuffer.wrap(bytes));
		List<String> whole = List.copyOf(this.events);
		assertThat(whole).containsExactly("0 15", "- 13", "12 19").inOrder();
		assertThat(new String(this.framer.remainder(), StandardCharsets.UTF_8)).isEqualTo("id: 13\ndata: cut");
		for (int cut = 1; cut < bytes.length; cut++) {
			List<String> parts = new ArrayList<>();
			EventFramer cutFramer = new EventFramer(
					(b, id) -> parts.add((id.isPresent() ? id.getAsLong() : "-") + " " + b.length));
			cutFramer.accept(ByteBuffer.wrap(bytes, 0, cut));
			cutFramer.accept(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
			assertThat(parts).isEqualTo(whole);
		}
	}

}
