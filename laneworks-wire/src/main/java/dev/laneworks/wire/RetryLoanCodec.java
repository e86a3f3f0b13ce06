package dev.laneworks.wire;

import dev.laneworks.core.budget.RetryLoan;
import dev.laneworks.core.budget.RetryLoanRequest;
import dev.laneworks.wire.proto.Protocol;

/**
 * Encodes loans of retries and requests for them for the wire and decodes them.
 */
final class RetryLoanCodec {

	private RetryLoanCodec() {
	}

	static Protocol.RetryLoanRequest encode(RetryLoanRequest request) {
		return Protocol.RetryLoanRequest.newBuilder()
			.setNumber(request.number())
			.setService(request.service())
			.setRetries(request.retries())
			.build();
	}

	static Protocol.RetryLoan encode(RetryLoan loan) {
		return Protocol.RetryLoan.newBuilder().setNumber(loan.number()).setRetries(loan.retries()).build();
	}

	/**
	 * Decode a request.
	 * @param request the encoded request
	 * @return the request
	 * @throws IllegalArgumentException if the number of retries is not positive
	 */
	static RetryLoanRequest decode(Protocol.RetryLoanRequest request) {
		return new RetryLoanRequest(request.getNumber(), request.getService(), request.getRetries());
	}

	/**
	 * Decode a loan.
	 * @param loan the encoded loan
	 * @return the loan
	 * @throws IllegalArgumentException if the number of retries is not positive
	 */
	static RetryLoan decode(Protocol.RetryLoan loan) {
		return new RetryLoan(loan.getNumber(), loan.getRetries());
	}

}
