package dev.laneworks.core.budget;

import java.util.Objects;

/**
 * Request of one entry to borrow retries from another.
 *
 * @param number identifies the request; not repeated by any process
 * @param service the name of the service
 * @param retries the number of retries asked for, fractions included; positive
 * @since 0.6
 */
public record RetryLoanRequest(long number, String service, double retries) {

	public RetryLoanRequest {
		Objects.requireNonNull(service, "service must not be null");
		if (!Double.isFinite(retries) || retries <= 0) {
			throw new IllegalArgumentException("retries must be positive but is " + retries);
		}
	}

}
