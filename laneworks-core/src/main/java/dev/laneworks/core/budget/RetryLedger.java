package dev.laneworks.core.budget;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Account of the retries of this process for one service.
 * <p>
 * Each retry is paid for by the share of this process or by a loan. A loan is deducted
 * from the share of its lender until no retry that it paid for can count in the same
 * window as a later one, so that no share pays for two retries in one window.
 */
final class RetryLedger {

	/** The time within which retries count as recent demand, in milliseconds. */
	private static final long DEMAND_MILLIS = 1_000;

	/** Tolerance for sums of fractions. */
	private static final double EPSILON = 1e-6;

	private final TimedAmounts requests;

	private final TimedAmounts ownRetries;

	private final TimedAmounts lent;

	private final TimedAmounts resumptions;

	/** The recent demand, which includes retries that were denied. */
	private final TimedAmounts demand;

	private final Deque<Loan> loans = new ArrayDeque<>();

	RetryLedger(long windowMillis) {
		this.requests = new TimedAmounts(windowMillis);
		this.ownRetries = new TimedAmounts(windowMillis + SharedRetryBudget.MAX_ARRIVAL_MILLIS);
		this.lent = new TimedAmounts(
				windowMillis + SharedRetryBudget.MAX_ARRIVAL_MILLIS + SharedRetryBudget.LOAN_MILLIS);
		this.resumptions = new TimedAmounts(windowMillis);
		this.demand = new TimedAmounts(DEMAND_MILLIS);
	}

	void recordRequest(long now) {
		this.requests.add(1, now);
	}

	void recordDemand(long now) {
		this.demand.add(1, now);
	}

	void recordResumption(long now) {
		this.resumptions.add(1, now);
	}

	void addLoan(double retries, long expiresAt) {
		this.loans.add(new Loan(retries, expiresAt));
	}

	double requests(long now) {
		return this.requests.sum(now);
	}

	// The part of the share that is spent or lent.
	double used(long now) {
		return this.ownRetries.sum(now) + this.lent.sum(now);
	}

	double demand(long now) {
		return this.demand.sum(now);
	}

	double resumptions(long now) {
		return this.resumptions.sum(now);
	}

	double borrowed(long now) {
		this.loans.removeIf((l) -> l.expiresAt <= now);
		return this.loans.stream().mapToDouble((l) -> l.retries).sum();
	}

	// What is left of the share of this process and of its loans.
	double left(double share, long now) {
		return Math.max(0, share - used(now)) + borrowed(now);
	}

	boolean hasLeft(double share, double retries, long now) {
		return left(share, now) + EPSILON >= retries;
	}

	/**
	 * Spend one retry, of loans first since they expire.
	 * @param share the share of this process within the window
	 * @param reserved the part of the share and the loans that must remain
	 * @param now the current time in milliseconds
	 * @return {@code false} if too little is left
	 */
	boolean trySpend(double share, double reserved, long now) {
		if (!hasLeft(share, 1 + reserved, now)) {
			return false;
		}
		double borrowed = borrowed(now);
		double ownPart = Math.max(0, 1 - borrowed);
		reduceLoans(1 - ownPart);
		if (ownPart > 0) {
			this.ownRetries.add(ownPart, now);
		}
		return true;
	}

	void lend(double retries, long now) {
		this.lent.add(retries, now);
	}

	private void reduceLoans(double retries) {
		double rest = retries;
		for (Loan loan : this.loans) {
			double part = Math.min(rest, loan.retries);
			loan.retries -= part;
			rest -= part;
		}
		this.loans.removeIf((l) -> l.retries <= EPSILON);
	}

	private static final class Loan {

		private final long expiresAt;

		private double retries;

		Loan(double retries, long expiresAt) {
			this.retries = retries;
			this.expiresAt = expiresAt;
		}

	}

}
