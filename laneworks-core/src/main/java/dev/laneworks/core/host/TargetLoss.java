package dev.laneworks.core.host;

/**
 * Reason why a target did not deliver the output of a generation.
 *
 * @since 0.1
 */
public enum TargetLoss {

	/** No byte of the request was sent to the target. */
	NOT_SENT,

	/** The target permanently refused the request. */
	REFUSED,

	/**
	 * The connection broke after the request was sent; the target may still hold the
	 * generation.
	 */
	BROKEN,

	/** The target answered that it holds no such generation. */
	UNKNOWN

}
