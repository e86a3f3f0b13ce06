package dev.laneworks.entry.direct;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import dev.laneworks.core.dispatch.EventId;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EventFramer}.
 */
class EventFramerTests {

	private static final String STREAM = "id: 0\ndata: a\n\n: comment\r\n\r\nid: 12\r\ndata: b\r\n\r\nid: 13\ndata: cut";

	private final List<String> events = new ArrayList<>();

	private final EventFramer framer = new EventFramer(
			(b, id) -> this.events.add((id.isPresent() ? id.get().number().getAsLong() : "-") + " " + b.length));

	// Guards against comments that are taken for events without an id, and against events
	// without one that are taken for comments.
	@Test
	void tellsEventsFromWhatIsNone() {
		String none = "\u00ef\u00bb\u00bf: c\n\nretry: 1\n\nevent: e\n\nid\u0000: 1\n\n";
		this.framer.accept(ByteBuffer.wrap((none + "id:5\n\n").getBytes(StandardCharsets.ISO_8859_1)));
		assertThat(this.events).containsExactly("- 8", "- 10", "- 10", "- 8", "5 6").inOrder();
		List<EventId> ids = new ArrayList<>();
		EventFramer next = new EventFramer((b, id) -> ids.add(id.orElseThrow()));
		next.accept(ByteBuffer.wrap(("\u00ef\u00bb\u00bfid: 1\ndata\n\ndata: a\n\nid: 3\rid: 4\n\n"
				+ "id: 5\u0000\ndata:\n\n\u00ef\u00bb\u00bfid: 6\ndata:\n\n")
			.getBytes(StandardCharsets.ISO_8859_1)));
		assertThat(ids.get(0)).isEqualTo(EventId.of(1));
		assertThat(ids.subList(1, 5).stream().map(EventId::fault).toList()).containsExactly("an event has no id",
				"an event has several ids", "an event has no id", "an event has no id");
	}

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
					(b, id) -> parts.add((id.isPresent() ? id.get().number().getAsLong() : "-") + " " + b.length));
			cutFramer.accept(ByteBuffer.wrap(bytes, 0, cut));
			cutFramer.accept(ByteBuffer.wrap(bytes, cut, bytes.length - cut));
			assertThat(parts).isEqualTo(whole);
		}
	}

}
