package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Id of an event, as its target sent it in the {@code id} fields of the event.
 * <p>
 * Parsers use the last field (WHATWG HTML, section 9.2.6). Fields that differ are those
 * of two events whose separator is lost.
 *
 * @param number the sequence number; empty if the event has none that can be read
 * @param fault why there is no number; empty text if there is one
 * @since 0.8
 */
public record EventId(OptionalLong number, String fault) {

	/** Leaves room for counting on without an overflow. */
	private static final int MAX_DIGITS = 18;

	/** Limits how much of a malformed id is logged. */
	private static final int MAX_SHOWN_CHARACTERS = 40;

	public EventId {
		Objects.requireNonNull(number, "number must not be null");
		Objects.requireNonNull(fault, "fault must not be null");
	}

	/**
	 * Create the id of an event with a valid sequence number.
	 * @param number the sequence number
	 * @return the id
	 */
	public static EventId of(long number) {
		return new EventId(OptionalLong.of(number), "");
	}

	/**
	 * Read the id of an event. Never throws for values that are malformed.
	 * @param values the values of its {@code id} fields, in the order received
	 * @return the id
	 */
	public static EventId read(List<String> values) {
		if (values.isEmpty()) {
			return unreadable("an event has no id");
		}
		if (values.size() > 1 && values.stream().distinct().count() > 1) {
			return unreadable("an event has several ids");
		}
		String value = values.get(0);
		if (value.isEmpty() || !value.chars().allMatch((c) -> c >= '0' && c <= '9')) {
			return unreadable("the id of an event is no number: '" + shown(value) + "'");
		}
		if (value.length() > MAX_DIGITS) {
			return unreadable("the id of an event is too large: " + shown(value));
		}
		return of(Long.parseLong(value));
	}

	private static EventId unreadable(String fault) {
		return new EventId(OptionalLong.empty(), fault);
	}

	private static String shown(String value) {
		String start = value.substring(0, Math.min(value.length(), MAX_SHOWN_CHARACTERS));
		return start.replaceAll("[^ -~]", "?");
	}

}
