package dev.laneworks.entry.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.http.JsonText;

/**
 * One line of a log, as far as a request's story needs it.
 *
 * @param time when it was written, by the clock of its instance
 * @param instance who wrote it
 * @param kind what it is about
 * @param subject the request, target or version that it concerns, or empty text
 * @param target the target, or empty text
 * @param cause why, with the inputs of the decision
 */
record LoggedEvent(String time, String instance, String kind, String subject, String target, String cause) {

	/**
	 * Read a line, which may have something in front of its JSON object.
	 * @param line the line
	 * @return the event, or empty if the line is none
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
			// Other programs write to the same logs; what is no event is no part of a
			// story.
			return Optional.empty();
		}
	}

}
