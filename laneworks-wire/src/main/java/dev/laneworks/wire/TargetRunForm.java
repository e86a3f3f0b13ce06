package dev.laneworks.wire;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import dev.laneworks.core.directory.TargetRun;

/**
 * Writes the run of a target as one text: its id, a separator and its start time.
 * <p>
 * The separator is there also where the start time isn't known, so that an id may hold
 * it. A text without a separator is an id alone, as entries write it that know no runs.
 */
final class TargetRunForm {

	private static final String SEPARATOR = "@";

	/** Eighteen digits are a number in any case. */
	private static final Pattern WITH_START = Pattern.compile("(.*)" + SEPARATOR + "(-?\\d{1,18})?", Pattern.DOTALL);

	private TargetRunForm() {
	}

	static String write(TargetRun run) {
		String start = run.startMillis().isPresent() ? Long.toString(run.startMillis().getAsLong()) : "";
		return run.id() + SEPARATOR + start;
	}

	static TargetRun read(String text) {
		Matcher form = WITH_START.matcher(text);
		if (!form.matches()) {
			return TargetRun.of(text);
		}
		return (form.group(2) == null) ? TargetRun.of(form.group(1))
				: TargetRun.of(form.group(1), Long.parseLong(form.group(2)));
	}

}
