package dev.laneworks.core.budget;

/**
 * Purpose of an attempt beyond the first, by what its caller loses without it.
 *
 * @since 0.6
 */
public enum RetryPurpose {

	/** Resumes a generation at another target; without it, the stream is cut off. */
	RESUMPTION,

	/**
	 * Repeats a request that was not executed or is repeatable; without it, the caller is
	 * told that the request failed.
	 */
	REPETITION

}
