package dev.laneworks.core.budget;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.gossip.RetryBudgetUsage;

/**
 * Retry budget of this process, by service.
 * <p>
 * In any window, the fleet may retry a share of its requests to a service plus a fixed
 * number. Each process may spend the share of its own requests and its part of the fixed
 * number, and no more. A process that needs more borrows from others, which deduct what
 * they lend, so that the sum stays within the limit whatever messages are lost or late.
 * <p>
 * A process that has just started does not know what its predecessor spent. A fraction of
 * each share is therefore left to processes that are younger than a window, which get it
 * bit by bit, so that a series of starts gets no more than one. Not thread-safe.
 *
 * @since 0.2
 */
public final class SharedRetryBudget {

	/**
	 * The time for which a loan may be used after it was asked for, in milliseconds. A
	 * generation that moves away from a draining engine resumes within it.
	 */
	public static final long LOAN_MILLIS = 2_000;

	/**
	 * The longest time from the permission of a retry to its arrival at a target, in
	 * milliseconds; the longest time in which a connection is established.
	 */
	static final long MAX_ARRIVAL_MILLIS = 1_000;

	/**
	 * The fraction of each share that only processes younger than a window may spend.
	 * Covers the generations that resume in normal operation.
	 */
	public static final double START_FRACTION = 0.3;

	/** The time without a denied retry after which a budget counts as available again. */
	private static final long EXHAUSTION_MILLIS = 1_000;

	/**
	 * The largest fraction of the share that is kept for resumptions. More would deny all
	 * other retries where many generations move.
	 */
	private static final double MAX_RESERVED_FRACTION = 0.5;

	private final long windowMillis;

	private final long startedAt;

	private final AuditSink audit;

	private final Map<String, Account> accounts = new HashMap<>();

	private double ratio;

	private double extra;

	private DemandListener demandListener = (service, retries, now) -> {
	};

	private long spent;

	private long denied;

	private double lent;

	private double borrowed;

	/**
	 * Create a budget without recorded requests.
	 * @param windowMillis the window length in milliseconds
	 * @param startedAt the start of this process in milliseconds of the monotonic clock
	 * @param audit receives an event when the budget of a service is exhausted
	 */
	public SharedRetryBudget(long windowMillis, long startedAt, AuditSink audit) {
		if (windowMillis <= 0) {
			throw new IllegalArgumentException("windowMillis must be positive but is " + windowMillis);
		}
		this.windowMillis = windowMillis;
		this.startedAt = startedAt;
		this.audit = Objects.requireNonNull(audit, "audit must not be null");
	}

	/**
	 * Change the limits. Retries that were spent before still count.
	 * @param newRatio the retries allowed per request received
	 * @param newExtra this process's part of the fixed number of retries
	 */
	public void setLimits(double newRatio, double newExtra) {
		this.ratio = newRatio;
		this.extra = newExtra;
	}

	/**
	 * Set the listener that is told when this process may soon lack retries.
	 * @param listener the listener
	 */
	public void onDemand(DemandListener listener) {
		this.demandListener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Record a request received from a caller.
	 * @param service the service to which the request is routed
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordRequest(String service, long now) {
		account(service).ledger.recordRequest(now);
	}

	/**
	 * Spend one retry if the budget allows it.
	 * @param service the service to which the request is routed
	 * @param purpose the purpose of the retry; what recent resumptions needed is kept for
	 * further ones
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the budget is exhausted
	 */
	public boolean tryAcquire(String service, RetryPurpose purpose, long now) {
		Account account = account(service);
		RetryLedger ledger = account.ledger;
		ledger.recordDemand(now);
		if (purpose == RetryPurpose.RESUMPTION) {
			ledger.recordResumption(now);
		}
		double reserved = (purpose == RetryPurpose.RESUMPTION) ? 0 : reservedForResumptions(ledger, now);
		boolean isAllowed = ledger.trySpend(ownShare(ledger, now), reserved, now);
		if (isAllowed) {
			this.spent++;
		}
		else {
			recordDenied(service, account, now);
		}
		borrowMissing(service, ledger.demand(now) + reserved, now);
		return isAllowed;
	}

	/**
	 * Prepare for resumptions that will probably be needed soon, by borrowing what is
	 * missing for them.
	 * @param service the name of the service
	 * @param count the number of resumptions
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void expectResumptions(String service, int count, long now) {
		if (count > 0) {
			borrowMissing(service, count, now);
		}
	}

	/**
	 * Determine whether resumptions would be allowed now. If not, borrow what is missing.
	 * @param service the name of the service
	 * @param count the number of resumptions
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the budget has too little left
	 */
	public boolean allowsResumptions(String service, int count, long now) {
		expectResumptions(service, count, now);
		RetryLedger ledger = account(service).ledger;
		return ledger.hasLeft(ownShare(ledger, now), count, now);
	}

	/**
	 * Lend retries to another process.
	 * @param service the name of the service
	 * @param requested the number of retries asked for
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the number of retries lent, fractions included; 0 if there are none to
	 * spare
	 */
	public double lend(String service, double requested, long now) {
		RetryLedger ledger = account(service).ledger;
		double spare = ownShare(ledger, now) - ledger.used(now) - ledger.demand(now)
				- reservedForResumptions(ledger, now);
		// A part below one retry is useless here, but several such parts are not.
		double offered = Math.min(requested, (spare < 1) ? spare : spare / 2);
		if (offered <= 0) {
			return 0;
		}
		ledger.lend(offered, now);
		this.lent += offered;
		return offered;
	}

	/**
	 * Add retries that another process lent.
	 * @param service the name of the service
	 * @param retries the number of retries, fractions included
	 * @param expiresAt the time until which they may be used, in milliseconds of the
	 * monotonic clock
	 */
	public void addLoan(String service, double retries, long expiresAt) {
		account(service).ledger.addLoan(retries, expiresAt);
		this.borrowed += retries;
	}

	/**
	 * Estimate how much another process may lend.
	 * @param usage its latest reported usage
	 * @return the number of retries, relative to other processes
	 */
	public double spare(RetryBudgetUsage usage) {
		return this.ratio * usage.requests() - usage.retries();
	}

	/**
	 * Return the requests of this process within the window, and the retries that it
	 * spent or lent.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return one element per service with requests, retries or loans
	 */
	public List<RetryBudgetUsage> usage(long now) {
		return this.accounts.entrySet().stream().map((e) -> {
			RetryLedger ledger = e.getValue().ledger;
			return new RetryBudgetUsage(e.getKey(), (int) ledger.requests(now), (int) Math.ceil(ledger.used(now)));
		}).toList();
	}

	/**
	 * Return the retries that the budget allowed.
	 * @return the count since the start
	 */
	public long spent() {
		return this.spent;
	}

	/**
	 * Return the retries that the budget did not allow.
	 * @return the count since the start
	 */
	public long denied() {
		return this.denied;
	}

	/**
	 * Return the retries lent to other processes.
	 * @return the sum since the start, fractions included
	 */
	public double lent() {
		return this.lent;
	}

	/**
	 * Return the retries borrowed from other processes.
	 * @return the sum since the start, fractions included
	 */
	public double borrowed() {
		return this.borrowed;
	}

	private void borrowMissing(String service, double needed, long now) {
		RetryLedger ledger = account(service).ledger;
		double missing = needed - ledger.left(ownShare(ledger, now), now);
		if (missing > 0) {
			this.demandListener.lacking(service, missing, now);
		}
	}

	private double reservedForResumptions(RetryLedger ledger, long now) {
		return Math.min(ledger.resumptions(now), MAX_RESERVED_FRACTION * ownShare(ledger, now));
	}

	private double ownShare(RetryLedger ledger, long now) {
		double ofRequests = this.ratio * ledger.requests(now);
		long age = now - this.startedAt;
		long predecessorMillis = this.windowMillis + MAX_ARRIVAL_MILLIS + LOAN_MILLIS;
		return (age >= predecessorMillis) ? (1 - START_FRACTION) * (ofRequests + this.extra)
				: START_FRACTION * (ofRequests + this.extra * age / predecessorMillis);
	}

	private void recordDenied(String service, Account account, long now) {
		this.denied++;
		boolean isFirst = now - account.lastDeniedAt > EXHAUSTION_MILLIS;
		account.lastDeniedAt = now;
		if (isFirst) {
			RetryLedger ledger = account.ledger;
			this.audit.record(AuditEvent.of(AuditKind.RETRY_BUDGET, service, "",
					String.format(Locale.ROOT,
							"exhausted: %.1f of %.1f retries spent or lent for %.0f requests, %.1f borrowed",
							ledger.used(now), ownShare(ledger, now), ledger.requests(now), ledger.borrowed(now))));
		}
	}

	private Account account(String service) {
		return this.accounts.computeIfAbsent(service, (s) -> new Account(this.windowMillis));
	}

	/** Listener for a process that may soon lack retries. */
	@FunctionalInterface
	public interface DemandListener {

		/**
		 * Handle a lack of retries.
		 * @param service the name of the service
		 * @param retries how many more retries are needed than are left; positive
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void lacking(String service, double retries, long now);

	}

	private static final class Account {

		private final RetryLedger ledger;

		private long lastDeniedAt = Long.MIN_VALUE / 2;

		Account(long windowMillis) {
			this.ledger = new RetryLedger(windowMillis);
		}

	}

}
