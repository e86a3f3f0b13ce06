package dev.laneworks.runtime.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.tinylog.Logger;

/**
 * Builder of a structured log line with named members. Not thread-safe.
 *
 * @since 0.1
 */
public final class LogLine {

	/** Tag of lines that are dropped first. */
	static final String ROUTINE = "routine";

	private final StringBuilder json = new StringBuilder("{");

	private LogLine(String event) {
		with("event", event);
	}

	/**
	 * Create a line.
	 * @param event the name of the event, in one or two words
	 * @return a line with the member {@code event}
	 */
	public static LogLine of(String event) {
		return new LogLine(event);
	}

	/**
	 * Add a text member.
	 * @param name the member's name, printed without escaping
	 * @param value the value; an empty value adds no member
	 * @return this line
	 */
	public LogLine with(String name, String value) {
		if (!value.isEmpty()) {
			appendName(name).append('"');
			JsonStringEncoder.getInstance().quoteAsString(value, this.json);
			this.json.append('"');
		}
		return this;
	}

	/**
	 * Add a numeric member.
	 * @param name the member's name, printed without escaping
	 * @param value the number
	 * @return this line
	 */
	public LogLine with(String name, long value) {
		appendName(name).append(value);
		return this;
	}

	/**
	 * Log the line at level info.
	 */
	public void info() {
		Logger.info((Object) this);
	}

	/**
	 * Log the line at level info as routine; routine lines are dropped first when the
	 * rate limit is reached.
	 */
	public void routine() {
		Logger.tag(ROUTINE).info((Object) this);
	}

	/**
	 * Log the line at level warn, for events that need an operator's attention.
	 */
	public void warn() {
		Logger.warn((Object) this);
	}

	@Override
	public String toString() {
		return this.json + "}";
	}

	private StringBuilder appendName(String name) {
		if (this.json.length() > 1) {
			this.json.append(',');
		}
		return this.json.append('"').append(name).append("\":");
	}

}
