package dev.laneworks.runtime.log;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.tinylog.Logger;

/**
 * A log line with named members, built and then logged.
 *
 * @since 0.1
 */
public final class LogLine {

	/** The tag of lines that may be dropped first. */
	static final String ROUTINE = "routine";

	private final StringBuilder json = new StringBuilder("{");

	private LogLine(String event) {
		with("event", event);
	}

	/**
	 * Start a line.
	 * @param event what happened, in a word or two
	 * @return the line
	 */
	public static LogLine of(String event) {
		return new LogLine(event);
	}

	/**
	 * Add a member; empty text is left out.
	 * @param name the member's name
	 * @param value the value
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
	 * Add a member.
	 * @param name the member's name
	 * @param value the value
	 * @return this line
	 */
	public LogLine with(String name, long value) {
		appendName(name).append(value);
		return this;
	}

	/**
	 * Log the line at the level for ordinary events.
	 */
	public void info() {
		Logger.info((Object) this);
	}

	/**
	 * Log the line as one of many alike, which are dropped first where there are too
	 * many.
	 */
	public void routine() {
		Logger.tag(ROUTINE).info((Object) this);
	}

	/**
	 * Log the line at the level for what an operator should look at.
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
