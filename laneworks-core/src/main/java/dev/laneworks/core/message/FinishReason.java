package dev.laneworks.core.message;

/**
 * Why a generation ended by itself.
 *
 * @since 0.1
 */
public enum FinishReason {

	/** The model ended its output. */
	STOP("stop"),

	/** The output reached the most tokens it may have. */
	LENGTH("length");

	private final String label;

	FinishReason(String label) {
		this.label = label;
	}

	/**
	 * Return the form that callers see.
	 * @return the label
	 */
	public String label() {
		return this.label;
	}

}
