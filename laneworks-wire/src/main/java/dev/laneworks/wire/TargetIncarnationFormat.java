package dev.laneworks.wire;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Text format of a target's incarnation: its id, a separator and its start time.
 * <p>
 * The separator is also written if the start time is unknown, so that an id may contain
 * it. A text without a separator is an id whose start time is unknown.
 */
final class TargetIncarnationFormat {

	private static final String SEPARATOR = "@";

	/** At most eighteen digits, so that the start time fits into a {@code long}. */
	private static final Pattern INCARNATION = Pattern.compile("(.*)" + SEPARATOR + "(-?\\d{1,18})?", Pattern.DOTALL);

	private TargetIncarnationFormat() {
	}

	static String format(TargetIncarnation incarnation) {
		String start = incarnation.startMillis().isPresent() ? Long.toString(incarnation.startMillis().getAsLong())
				: "";
		return incarnation.id() + SEPARATOR + start;
	}

	static TargetIncarnation parse(String text) {
		Matcher matcher = INCARNATION.matcher(text);
		if (!matcher.matches()) {
			return TargetIncarnation.of(text);
		}
		return (matcher.group(2) == null) ? TargetIncarnation.of(matcher.group(1))
				: TargetIncarnation.of(matcher.group(1), Long.parseLong(matcher.group(2)));
	}

}
