package dev.laneworks.core.host;

/**
 * How a target failed to give a generation's output.
 *
 * @since 0.1
 */
public enum TargetLoss {

	/** No byte of the request was sent to the target. */
	NOT_SENT,

	/** The target answered that it takes the request on neither now nor later. */
	REFUSED,

	/**
	 * The connection broke after the request was sent; the target may still hold the
	 * generation.
	 */
	BROKEN,

	/** The target answered that it holds no such generation. */
	UNKNOWN

}
