package dev.laneworks.entry.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.http.JsonText;

/**
 * One parsed log line with the members that a {@link RequestTimeline} reads.
 *
 * @param time the time of the event by the clock of its instance
 * @param instance the instance that logged the event
 * @param kind the audit kind, or the event name of any other line
 * @param subject the request, target or version concerned, or an empty string
 * @param target the target, or an empty string
 * @param cause the reason with the inputs of the decision
 */
record LoggedEvent(String time, String instance, String kind, String subject, String target, String cause) {

	/**
	 * Parse a line; text before the JSON object, such as a prefix of a log collector, is
	 * ignored.
	 * @param line a line of a log file
	 * @return the event, or empty if the line holds none
	 */
	static Optional<LoggedEvent> parse(String line) {
		int start = line.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			JsonNode json = JsonText.read(line.substring(start).getBytes(StandardCharsets.UTF_8));
			String event = json.path("event").asText();
			if (event.isEmpty()) {
				return Optional.empty();
			}
			String kind = event.equals("audit") ? json.path("kind").asText() : event;
			String cause = kind.equals("lines-dropped") ? json.path("routine").asText("0") + " routine and "
					+ json.path("other").asText("0") + " other lines" : json.path("cause").asText();
			return Optional.of(new LoggedEvent(json.path("time").asText(), json.path("instance").asText(), kind,
					json.path("subject").asText(), json.path("target").asText(), cause));
		}
		catch (IOException ex) {
			// Other programs may write to the same log; lines that are not events are
			// skipped.
			return Optional.empty();
		}
	}

}
