package dev.laneworks.core.verdict;

/**
 * Whether a request may have run at a target.
 * <p>
 * A request has run from the moment a sidecar starts to hand it to its target. Every
 * refusal carries a verdict, so that a caller or an entry knows whether the request may
 * be sent again.
 *
 * @since 0.1
 */
public enum Verdict {

	/**
	 * The request did not run and nothing of it will run later.
	 */
	NOT_RUN("not-run"),

	/**
	 * The request may have run, may be running, or may still run.
	 */
	MAY_HAVE_RUN("may-have-run"),

	/**
	 * The request ran, wholly or in part.
	 */
	RAN("ran");

	private final String label;

	Verdict(String label) {
		this.label = label;
	}

	/**
	 * Return the form used on the wire and in problem documents.
	 * @return the lower-case label
	 */
	public String label() {
		return this.label;
	}

	/**
	 * Decide whether the request may be sent to another target.
	 * <p>
	 * This is the only place that answers the question: a request that did not run may
	 * always be sent again; one that may have run only if it is repeatable and its caller
	 * has seen nothing; one that ran never.
	 * @param repeatable whether the caller allows the request to run more than once
	 * @param callerHasSeenOutput whether any output has reached the caller
	 * @return {@code true} if another attempt is allowed
	 */
	public boolean allowsAnotherAttempt(boolean repeatable, boolean callerHasSeenOutput) {
		if (callerHasSeenOutput) {
			return false;
		}
		return switch (this) {
			case NOT_RUN -> true;
			case MAY_HAVE_RUN -> repeatable;
			case RAN -> false;
		};
	}

}
