package dev.laneworks.runtime.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.Collection;
import java.util.EnumSet;
import java.util.Map;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.Writer;

/**
 * tinylog writer that prints each log entry to standard output as one JSON object on one
 * line, without blocking the logging thread.
 * <p>
 * tinylog selects the writer by the name {@code json line}, which it derives from the
 * name of this class. The members of a {@link LogLine} become members of the object; any
 * other message becomes the member {@code message}.
 *
 * @since 0.1
 */
public final class JsonLineWriter implements Writer {

	private static final DateTimeFormatter TIME = DateTimeFormatter.ofPattern("yyyy-MM-dd'T'HH:mm:ss.SSS'Z'")
		.withZone(ZoneOffset.UTC);

	private static volatile String instance = "";

	private final LineOutput out = LineOutput.toStandardOutput();

	/**
	 * Create a writer; called by tinylog.
	 * @param properties the writer's properties, which are not used
	 */
	public JsonLineWriter(Map<String, String> properties) {
	}

	/**
	 * Set the instance name that all lines of this process contain.
	 * @param name the instance's name, printed without escaping
	 */
	public static void setInstanceName(String name) {
		instance = name;
	}

	@Override
	public Collection<LogEntryValue> getRequiredLogEntryValues() {
		return EnumSet.of(LogEntryValue.DATE, LogEntryValue.LEVEL, LogEntryValue.MESSAGE, LogEntryValue.EXCEPTION,
				LogEntryValue.THREAD, LogEntryValue.TAG);
	}

	@Override
	public void write(LogEntry entry) {
		StringBuilder line = new StringBuilder(256);
		Instant at = entry.getTimestamp().toInstant();
		line.append("{\"time\":\"").append(TIME.format(at)).append("\",\"level\":\"").append(entry.getLevel());
		line.append("\",\"instance\":\"").append(instance);
		line.append("\",\"thread\":");
		appendText(line, entry.getThread().getName());
		appendMessage(line, entry.getMessage());
		appendException(line, entry.getException());
		this.out.offer(line.append("}\n").toString(), LogLine.ROUTINE.equals(entry.getTag()));
	}

	@Override
	public void flush() {
		this.out.flush();
	}

	@Override
	public void close() {
		flush();
	}

	private static void appendMessage(StringBuilder line, String message) {
		if (message == null) {
			return;
		}
		if (message.startsWith("{\"event\":")) {
			line.append(',').append(message, 1, message.length() - 1);
			return;
		}
		line.append(",\"message\":");
		appendText(line, message);
	}

	private static void appendException(StringBuilder line, Throwable exception) {
		if (exception == null) {
			return;
		}
		StringWriter trace = new StringWriter();
		exception.printStackTrace(new PrintWriter(trace));
		line.append(",\"exception\":");
		appendText(line, trace.toString());
	}

	private static void appendText(StringBuilder line, String text) {
		line.append('"');
		JsonStringEncoder.getInstance().quoteAsString(text, line);
		line.append('"');
	}

}
