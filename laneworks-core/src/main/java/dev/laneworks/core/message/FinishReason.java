package dev.laneworks.core.message;

/**
 * Reason why a generation ended normally.
 *
 * @since 0.1
 */
public enum FinishReason {

	/** The model completed its output. */
	STOP("stop"),

	/** The output reached the maximum number of tokens. */
	LENGTH("length");

	private final String label;

	FinishReason(String label) {
		this.label = label;
	}

	/**
	 * Return the label used in answers to callers.
	 * @return the label in lower case
	 */
	public String label() {
		return this.label;
	}

}
