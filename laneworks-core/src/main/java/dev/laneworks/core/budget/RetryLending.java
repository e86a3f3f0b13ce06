package dev.laneworks.core.budget;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Borrows retries from other entries when this one may lack some, and lends to others.
 * <p>
 * A request and its answer are one datagram each; either may be lost. The time for which
 * a loan may be used counts from when it was asked for, which is before the lender
 * deducted it. Not thread-safe.
 *
 * @since 0.6
 */
public final class RetryLending {

	/** The shortest time between two requests for a service, in milliseconds. */
	private static final long MIN_GAP_MILLIS = 20;

	/** The longest time between two requests for a service that nobody could answer. */
	private static final long MAX_GAP_MILLIS = 320;

	/** The most entries that are asked at a time. */
	private static final int MAX_LENDERS = 8;

	private final SharedRetryBudget budget;

	private final Lenders lenders;

	private final Outputs outputs;

	private final RandomGenerator random;

	private final Map<Long, PendingLoan> pending = new HashMap<>();

	private final Map<String, Gap> gaps = new HashMap<>();

	/**
	 * Create the lending of an entry; it borrows whenever the budget reports a lack.
	 * @param budget the budget of this entry
	 * @param lenders supplies the entries to ask
	 * @param outputs sends requests and loans
	 * @param random chooses among entries and numbers requests
	 */
	public RetryLending(SharedRetryBudget budget, Lenders lenders, Outputs outputs, RandomGenerator random) {
		this.budget = Objects.requireNonNull(budget, "budget must not be null");
		this.lenders = Objects.requireNonNull(lenders, "lenders must not be null");
		this.outputs = Objects.requireNonNull(outputs, "outputs must not be null");
		this.random = Objects.requireNonNull(random, "random must not be null");
		budget.onDemand(this::borrow);
	}

	/**
	 * Handle the request of another entry.
	 * @param from the address of the entry
	 * @param request the request
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void loanRequested(String from, RetryLoanRequest request, long now) {
		double retries = this.budget.lend(request.service(), request.retries(), now);
		if (retries > 0) {
			this.outputs.send(from, new RetryLoan(request.number(), retries));
		}
	}

	/**
	 * Handle a loan. One that was not asked for, that came before or that came too late
	 * is ignored.
	 * @param loan the loan
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void loanReceived(RetryLoan loan, long now) {
		removeExpired(now);
		Optional.ofNullable(this.pending.remove(loan.number())).ifPresent((p) -> {
			this.budget.addLoan(p.service(), Math.min(p.retries(), loan.retries()), p.expiresAt());
			this.gaps.remove(p.service());
		});
	}

	private void borrow(String service, double retries, long now) {
		removeExpired(now);
		Gap gap = this.gaps.getOrDefault(service, new Gap(now, MIN_GAP_MILLIS));
		if (now < gap.endsAt()) {
			return;
		}
		this.gaps.put(service, new Gap(now + gap.millis(), Math.min(MAX_GAP_MILLIS, 2 * gap.millis())));
		List<String> addresses = choose(service);
		for (String address : addresses) {
			RetryLoanRequest request = new RetryLoanRequest(this.random.nextLong(), service,
					retries / addresses.size());
			this.pending.put(request.number(),
					new PendingLoan(service, request.retries(), now + SharedRetryBudget.LOAN_MILLIS));
			this.outputs.send(address, request);
		}
	}

	private List<String> choose(String service) {
		List<String> best = new ArrayList<>(this.lenders.find(service, 2 * MAX_LENDERS));
		while (best.size() > MAX_LENDERS) {
			best.remove(this.random.nextInt(best.size()));
		}
		return best;
	}

	private void removeExpired(long now) {
		this.pending.values().removeIf((p) -> p.expiresAt() <= now);
	}

	/** Source of the entries that may lend retries. */
	@FunctionalInterface
	public interface Lenders {

		/**
		 * Find the entries that have most to lend according to their latest updates.
		 * @param service the name of the service
		 * @param max the most entries to return
		 * @return the addresses of other entries
		 */
		List<String> find(String service, int max);

	}

	/** Sends requests and loans to other entries, without a guarantee of delivery. */
	public interface Outputs {

		/**
		 * Send a request for a loan.
		 * @param address the address of the entry, {@code IP:PORT}
		 * @param request the request
		 */
		void send(String address, RetryLoanRequest request);

		/**
		 * Send a loan.
		 * @param address the address of the entry, {@code IP:PORT}
		 * @param loan the loan
		 */
		void send(String address, RetryLoan loan);

	}

	/** The time before which nobody is asked again, and the length of the next gap. */
	private record Gap(long endsAt, long millis) {
	}

	private record PendingLoan(String service, double retries, long expiresAt) {
	}

}
