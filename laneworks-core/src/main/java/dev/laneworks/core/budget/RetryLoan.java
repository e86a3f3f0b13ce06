package dev.laneworks.core.budget;

/**
 * Answer to a {@link RetryLoanRequest}.
 *
 * @param number the number of the request
 * @param retries the number of retries that the borrower may use, fractions included;
 * positive
 * @since 0.6
 */
public record RetryLoan(long number, double retries) {

	public RetryLoan {
		if (!Double.isFinite(retries) || retries <= 0) {
			throw new IllegalArgumentException("retries must be positive but is " + retries);
		}
	}

}
