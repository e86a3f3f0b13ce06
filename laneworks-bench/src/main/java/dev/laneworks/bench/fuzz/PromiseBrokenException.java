package dev.laneworks.bench.fuzz;

/**
 * Thrown when something did not hold that must always hold.
 *
 * @since 0.1
 */
public class PromiseBrokenException extends RuntimeException {

	/**
	 * Create an exception.
	 * @param promise which promise was broken and how
	 */
	public PromiseBrokenException(String promise) {
		super(promise);
	}

}
