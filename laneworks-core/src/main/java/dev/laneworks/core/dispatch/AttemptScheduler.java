package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.function.Predicate;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.budget.RetryPurpose;
import dev.laneworks.core.budget.SharedRetryBudget;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.AdaptiveTimeout;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Dispatches the attempts of a call, one target after another, within the limits on
 * attempts and retries.
 */
final class AttemptScheduler implements QueuedStarts.Starter {

	/**
	 * Upper bound of the learned connect timeout. Equals the initial retransmission
	 * timeout of RFC 6298 and the time that callers allow for a connection.
	 */
	private static final long MAX_CONNECT_MILLIS = 1_000;

	/** Interval in which postponed calls check for a contact with the store. */
	private static final long POSTPONED_POLL_MILLIS = 10;

	private final DispatchSettings settings;

	private final SharedRetryBudget retryBudget;

	private final AttemptSender sender;

	private final CallCompletion completion;

	private final PoisonRequestGuard poison;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final Function<DirectCall, Optional<EngineSpec>> engines;

	private final SendGuard guard;

	private final Predicate<DirectCall> open;

	private final ConnectFailureHandler connectFailure;

	/**
	 * Learned connect timeout. Adapts to a process that is slow to handle its connections
	 * after a start, so that it does not give up on reachable targets.
	 */
	private final AdaptiveTimeout connectTimeout;

	private final EngineAdmission admission = new EngineAdmission();

	private final RetryAfterSchedule retryAfterSchedule = new RetryAfterSchedule();

	private final EntryRanks entries;

	private final QueuedStarts queuedStarts;

	private final boolean admissionEnabled;

	AttemptScheduler(DispatchSettings settings, SharedRetryBudget retryBudget, AttemptSender sender,
			CallCompletion completion, PoisonRequestGuard poison, Timers timers, DispatchOutputs outputs,
			AuditSink audit, Function<DirectCall, Optional<EngineSpec>> engines, EntryRanks entries,
			QueuedStarts queuedStarts, SendGuard guard, Predicate<DirectCall> open,
			ConnectFailureHandler connectFailure) {
		this.settings = settings;
		this.retryBudget = retryBudget;
		this.sender = sender;
		this.completion = completion;
		this.poison = poison;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.engines = engines;
		this.entries = entries;
		this.queuedStarts = queuedStarts;
		queuedStarts.use(this);
		this.guard = guard;
		this.open = open;
		this.connectFailure = connectFailure;
		this.connectTimeout = new AdaptiveTimeout(settings.connectMillis(),
				settings.mechanisms().isEnabled(Mechanism.LEARNED_CONNECT_LIMIT) ? MAX_CONNECT_MILLIS
						: settings.connectMillis());
		this.admissionEnabled = settings.mechanisms().isEnabled(Mechanism.ENGINE_ADMISSION);
	}

	// Dispatches a call that no target has executed to the best target left, or refuses
	// it.
	void dispatch(DirectCall call, long now) {
		if (this.poison.refuse(call, now)) {
			return;
		}
		if (call.timesSent() >= this.settings.maxAttempts() || call.attempts() >= this.settings.maxConnections()) {
			this.completion.refuse(call, RefusalReason.OVERLOADED, "no target accepted the request", now);
			return;
		}
		Optional<ListedTarget> target = this.sender.choose(call, this.engines.apply(call), now);
		if (target.isEmpty()) {
			this.completion.refuse(call, RefusalReason.NO_TARGET, this.sender.findNoTargetReason(call, now), now);
			return;
		}
		if (this.queuedStarts.governs(call)) {
			this.queuedStarts.offer(call, now);
			return;
		}
		Optional<EngineSpec> engine = this.engines.apply(call).filter((e) -> isSubjectToAdmission(call));
		if (engine.isPresent() && memoryWaitMillis(call, target.get(), engine.get(), now).isPresent()) {
			target = this.sender.chooseLeastUtilized(call, engine.get(), now);
			OptionalLong wait = memoryWaitMillis(call, target.get(), engine.get(), now);
			if (wait.isPresent()) {
				refuse(call, "no engine has memory to start the generation in time",
						retryAfterMillis(call, wait.getAsLong(), engine.get(), now), now);
				return;
			}
		}
		send(call, target.get(), now);
	}

	/**
	 * Abandon an attempt that was not sent, and dispatch its call again after a contact
	 * with the store.
	 * @param call the request being dispatched
	 * @param attempt the attempt that was not sent
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void postpone(DirectCall call, Attempt attempt, long now) {
		if (call.find(attempt.number()).isPresent()) {
			this.audit.record(call.event(AuditKind.RETRIED, attempt.target().id(),
					"nothing was sent: waits for the store" + this.guard.describeView(attempt.target(), now)));
			this.sender.abandon(call, attempt);
			dispatchAfterContact(call, now);
		}
	}

	private void dispatchAfterContact(DirectCall call, long now) {
		if (!this.guard.awaitsContact(now)) {
			dispatch(call, now);
			return;
		}
		this.timers.schedule(now + POSTPONED_POLL_MILLIS, (t) -> {
			if (this.open.test(call)) {
				dispatchAfterContact(call, t);
			}
		});
	}

	private void send(DirectCall call, ListedTarget target, long now) {
		if (call.timesSent() > 0
				&& !this.retryBudget.tryAcquire(call.request().service(), RetryPurpose.REPETITION, now)) {
			this.completion.refuse(call, RefusalReason.OVERLOADED, "the retry budget is exhausted", now);
			return;
		}
		call.setAttempt(startAttempt(call, target, Optional.empty(), now));
	}

	@Override
	public void start(DirectCall call, ListedTarget target, long now) {
		if (!this.poison.refuse(call, now)) {
			send(call, target, now);
		}
	}

	@Override
	public void refuse(DirectCall call, String detail, long retryAfterMillis, long now) {
		this.completion.refuse(call, RefusalReason.OVERLOADED, NoTargetReason.until(detail, retryAfterMillis), now);
	}

	@Override
	public void refuseLeaving(DirectCall call, long now) {
		this.completion.refuse(call, RefusalReason.LEAVING,
				NoTargetReason
					.until("the generation waited for engine memory at an entry that ends before it could complete", 0),
				now);
	}

	private boolean isSubjectToAdmission(DirectCall call) {
		return this.admissionEnabled && call.request().size().isPresent();
	}

	// The time until memory is available, or empty if the generation can start in time.
	private OptionalLong memoryWaitMillis(DirectCall call, ListedTarget target, EngineSpec engine, long now) {
		return this.admission.waitMillis(this.sender.utilizationWith(call, target, engine, now),
				call.request().route().priority(), call.request().route().goalMillis(), call.dueAt() - now);
	}

	// The retry-after time of a refused generation. Entries do not share their refusals,
	// so each schedules retries for its own share of the memory.
	private long retryAfterMillis(DirectCall call, long waitMillis, EngineSpec engine, long now) {
		double ownMemory = this.sender.memoryTokens(call.request().service(), engine) / this.entries.entries();
		double releasedIn = call.request()
			.size()
			.map((w) -> this.admission.memoryReleaseMillis(w, ownMemory))
			.orElse(0.0);
		return this.retryAfterSchedule.nextRetryAfterMillis(call.request().service(), call.request().route().priority(),
				waitMillis, releasedIn, call.callerTimeoutAt() - now, now);
	}

	// Records the duration of a generation that completed.
	void recordCompleted(DirectCall call, long now) {
		// The wait in a queue holds no memory.
		long since = this.queuedStarts.governs(call) ? call.startedAt() : call.openedAt();
		call.request().size().ifPresent((w) -> this.admission.recordLifetime(w, now - since));
		this.queuedStarts.recordCompleted(call, now);
	}

	// Sends a call to a target and starts the connect timeout.
	Attempt startAttempt(DirectCall call, ListedTarget target, Optional<ResumePoint> resume, long now) {
		Attempt attempt = this.sender.send(call, target, this.engines.apply(call), resume, now);
		this.timers.schedule(now + this.connectTimeout.timeoutMillis(), (t) -> handleConnectTimeout(call, attempt, t));
		return attempt;
	}

	void recordConnected(Attempt attempt, long now) {
		this.connectTimeout.recordDuration(now - attempt.startedAt());
	}

	private void handleConnectTimeout(DirectCall call, Attempt attempt, long now) {
		if (call.find(attempt.number()).isPresent() && !attempt.isSent()) {
			this.outputs.abandon(call.number(), attempt.number());
			this.connectFailure.failed(call, attempt, now);
		}
	}

	// Allows a retry only of a repeatable request, at another target and with enough time
	// left for a response.
	boolean mayRetry(DirectCall call, Attempt attempt, long now) {
		DirectRequest request = call.request();
		boolean isAllowed = Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(request.route().kind().isRepeatable(),
				call.isStreaming());
		return isAllowed && !this.poison.isQuarantined(call, now) && call.possibleRuns() < request.route().maxAttempts()
				&& call.attempts() < this.settings.maxAttempts()
				&& call.dueAt() - now > request.route().goalMillis() / this.settings.retryTimeDivisor()
				&& this.sender.hasAlternative(call, attempt.target(), now)
				&& this.retryBudget.tryAcquire(request.service(), RetryPurpose.REPETITION, now);
	}

	void retry(DirectCall call, Attempt attempt, String cause, long now) {
		this.audit.record(call.event(AuditKind.RETRIED, attempt.target().id(), cause));
		this.sender.abandon(call, attempt);
		call.tried().add(attempt.target().id());
		this.sender.choose(call, this.engines.apply(call), now)
			.ifPresentOrElse((t) -> call.setAttempt(startAttempt(call, t, Optional.empty(), now)),
					() -> this.completion.refuse(call, RefusalReason.TARGET_LOST, cause, now));
	}

	/** Handler of connections that were not established in time. */
	@FunctionalInterface
	interface ConnectFailureHandler {

		/**
		 * Handle an attempt whose request was not sent.
		 * @param call the call of the attempt
		 * @param attempt the attempt that failed to connect
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void failed(DirectCall call, Attempt attempt, long now);

	}

}
