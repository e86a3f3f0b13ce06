package dev.laneworks.core.document;

/**
 * Thrown when a document is not what its reader allows.
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
	 * @param line the line, from 1
	 * @param setting the path of the setting
	 * @param problem what is wrong and what is allowed
	 */
	public InvalidDocumentException(String source, int line, String setting, String problem) {
		super(source + ":" + line + ": " + setting + ": " + problem);
		this.source = source;
		this.line = line;
		this.setting = setting;
	}

	/**
	 * Return the document's name.
	 * @return a file name or the name of a service
	 */
	public String getSource() {
		return this.source;
	}

	/**
	 * Return where the fault is.
	 * @return the line, from 1
	 */
	public int getLine() {
		return this.line;
	}

	/**
	 * Return which setting is at fault.
	 * @return a path such as {@code limits.body}
	 */
	public String getSetting() {
		return this.setting;
	}

}
