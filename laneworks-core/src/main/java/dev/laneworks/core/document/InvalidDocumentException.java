package dev.laneworks.core.document;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown when a document is malformed or contains an invalid setting.
 *
 * @since 0.1
 */
public class InvalidDocumentException extends RuntimeException {

	private final String source;

	private final int line;

	private final String setting;

	/**
	 * Create an exception.
	 * @param source the document's name
	 * @param line the line of the fault, from 1
	 * @param setting the path of the setting
	 * @param problem what is wrong and what is allowed
	 */
	public InvalidDocumentException(String source, int line, String setting, String problem) {
		super(source + ":" + line + ": " + setting + ": " + problem);
		this.source = source;
		this.line = line;
		this.setting = setting;
	}

	private InvalidDocumentException(InvalidDocumentException first, String message) {
		super(message);
		this.source = first.source;
		this.line = first.line;
		this.setting = first.setting;
	}

	/**
	 * Combine all faults of a document into one exception. Its message has a line for
	 * each fault in the order of the document, and its other properties are those of the
	 * first.
	 * @param faults the faults, at least one
	 * @return the exception
	 */
	public static InvalidDocumentException of(List<InvalidDocumentException> faults) {
		List<InvalidDocumentException> inOrder = faults.stream()
			.sorted(Comparator.comparingInt(InvalidDocumentException::getLine))
			.toList();
		return new InvalidDocumentException(inOrder.get(0),
				inOrder.stream().map(Throwable::getMessage).collect(Collectors.joining("\n")));
	}

	/**
	 * Return the document's name, for applications that format faults themselves;
	 * {@link #getMessage()} begins with it.
	 * @return a file name or the name of a service
	 */
	public String getSource() {
		return this.source;
	}

	/**
	 * Return the line of the fault.
	 * @return the line, from 1
	 */
	public int getLine() {
		return this.line;
	}

	/**
	 * Return the path of the invalid setting.
	 * @return a path such as {@code limits.body}
	 */
	public String getSetting() {
		return this.setting;
	}

}
