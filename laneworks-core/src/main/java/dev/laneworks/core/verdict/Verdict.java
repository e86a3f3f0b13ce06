package dev.laneworks.core.verdict;

/**
 * Verdict on whether a request may have run at a target.
 * <p>
 * A request counts as run once a sidecar starts to send it to its target. Every refusal
 * carries a verdict, which determines whether a caller or an entry may retry the request.
 *
 * @since 0.1
 */
public enum Verdict {

	/**
	 * The request did not run and will not run later.
	 */
	NOT_RUN("not-run"),

	/**
	 * The request may have run, may be running or may still run.
	 */
	MAY_HAVE_RUN("may-have-run"),

	/**
	 * The request ran completely or in part.
	 */
	RAN("ran");

	private final String label;

	Verdict(String label) {
		this.label = label;
	}

	/**
	 * Return the label used on the wire and in problem documents.
	 * @return the lower-case name with hyphens
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Determine whether the request may be sent to another target.
	 * <p>
	 * Once output was delivered, no further attempt is allowed. Before that, a request
	 * that did not run may be retried, one that may have run only if it is repeatable,
	 * and one that ran may not.
	 * @param repeatable whether the caller allows the request to run more than once
	 * @param outputDelivered whether any output has reached the caller
	 * @return {@code true} if another attempt is allowed
	 */
	public boolean allowsAnotherAttempt(boolean repeatable, boolean outputDelivered) {
		if (outputDelivered) {
			return false;
		}
		return switch (this) {
			case NOT_RUN -> true;
			case MAY_HAVE_RUN -> repeatable;
			case RAN -> false;
		};
	}

}
