package dev.laneworks.entry.direct;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import dev.laneworks.core.dispatch.EventId;

/**
 * Fields of one server-sent event that decide what it is (WHATWG HTML, section 9.2.6).
 *
 * @param ids the values of the id fields, in the order received
 * @param hasData whether there is a data field
 */
record EventFields(List<String> ids, boolean hasData) {

	private static final String ID = "id";

	private static final String DATA = "data";

	/** The byte order mark in UTF-8, a character a byte. */
	private static final String BYTE_ORDER_MARK = "\u00ef\u00bb\u00bf";

	private static final char NULL = 0;

	/**
	 * Read the fields of an event.
	 * @param bytes the lines of the event
	 * @param isFirst whether a byte order mark may stand before them
	 * @return the fields
	 */
	static EventFields read(byte[] bytes, boolean isFirst) {
		String text = new String(bytes, StandardCharsets.ISO_8859_1);
		String fields = (isFirst && text.startsWith(BYTE_ORDER_MARK)) ? text.substring(BYTE_ORDER_MARK.length()) : text;
		List<String> ids = new ArrayList<>();
		boolean hasData = false;
		for (String line : (Iterable<String>) fields.lines()::iterator) {
			if (isField(line, ID) && line.indexOf(NULL) < 0) {
				ids.add(value(line, ID));
			}
			hasData |= isField(line, DATA);
		}
		return new EventFields(ids, hasData);
	}

	/**
	 * Return the id of the event.
	 * @return the id; empty if the fields are no event, such as comments or a
	 * reconnection time alone
	 */
	Optional<EventId> id() {
		return (this.hasData || !this.ids.isEmpty()) ? Optional.of(EventId.read(this.ids)) : Optional.empty();
	}

	// A line without a colon is a field without a value.
	private static boolean isField(String line, String name) {
		return line.startsWith(name) && (line.length() == name.length() || line.charAt(name.length()) == ':');
	}

	// One space behind the colon is no part of the value.
	private static String value(String line, String name) {
		String value = line.substring(Math.min(line.length(), name.length() + 1));
		return value.startsWith(" ") ? value.substring(1) : value;
	}

}
