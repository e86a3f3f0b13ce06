package dev.laneworks.bench.fuzz;

/**
 * Exception thrown when an invariant of the core does not hold in a trace.
 *
 * @since 0.1
 */
public class InvariantViolationException extends RuntimeException {

	/**
	 * Create an exception.
	 * @param message the violated invariant and the values that violate it
	 */
	public InvariantViolationException(String message) {
		super(message);
	}

}
