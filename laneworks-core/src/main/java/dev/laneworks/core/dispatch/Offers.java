package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.time.UsualTime;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Offers calls to targets, one after the other, within the bounds on attempts and
 * repeated sendings.
 */
final class Offers {

	/**
	 * The longest time that a connection is given to come up, in milliseconds; the first
	 * limit of RFC 6298, and what callers allow.
	 */
	private static final long MOST_CONNECT_MILLIS = 1_000;

	private final DispatchSettings settings;

	private final RetryWindow retries;

	private final AttemptSender sender;

	private final CallEnding ending;

	private final PoisonGuard poison;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final Function<DirectCall, Optional<EngineSpec>> engines;

	private final ConnectFailure connectFailed;

	/**
	 * How long connections take. A process that has just started takes long to look at
	 * its connections again; targets given up meanwhile would cost it the time in which
	 * it could have served.
	 */
	private final UsualTime connectTime;

	private final EngineAdmission admission = new EngineAdmission();

	private final ReturnTimes returnTimes = new ReturnTimes();

	private final EntryRanks entries;

	private final boolean refusesHopeless;

	Offers(DispatchSettings settings, RetryWindow retries, AttemptSender sender, CallEnding ending, PoisonGuard poison,
			Timers timers, DispatchOutputs outputs, AuditSink audit, Function<DirectCall, Optional<EngineSpec>> engines,
			EntryRanks entries, ConnectFailure connectFailed) {
		this.settings = settings;
		this.retries = retries;
		this.sender = sender;
		this.ending = ending;
		this.poison = poison;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.engines = engines;
		this.entries = entries;
		this.connectFailed = connectFailed;
		this.connectTime = new UsualTime(settings.connectMillis(),
				settings.mechanisms().use(Mechanism.LEARNED_CONNECT_LIMIT) ? MOST_CONNECT_MILLIS
						: settings.connectMillis());
		this.refusesHopeless = settings.mechanisms().use(Mechanism.ENGINE_ADMISSION);
	}

	// Offers a call that no target has run to the best one left, or refuses it.
	void offer(DirectCall call, long now) {
		if (this.poison.refuse(call, now)) {
			return;
		}
		if (call.arrivals() >= this.settings.maxAttempts() || call.attempts() >= this.settings.maxConnections()) {
			this.ending.refuse(call, RefusalReason.OVERLOADED, "no target took the request", now);
			return;
		}
		Optional<ListedTarget> target = this.sender.choose(call, this.engines.apply(call), now);
		if (target.isEmpty()) {
			this.ending.refuse(call, RefusalReason.NO_TARGET, this.sender.shortage(call, now), now);
			return;
		}
		Optional<EngineSpec> engine = this.engines.apply(call).filter((e) -> isBounded(call));
		if (engine.isPresent() && waitForRoom(call, target.get(), engine.get(), now).isPresent()) {
			target = this.sender.chooseLeastFull(call, engine.get(), now);
			OptionalLong wait = waitForRoom(call, target.get(), engine.get(), now);
			if (wait.isPresent()) {
				long comeBack = comeBackMillis(call, wait.getAsLong(), engine.get(), now);
				this.ending.refuse(call, RefusalReason.OVERLOADED,
						Shortage.until("no engine would begin the generation in time", comeBack), now);
				return;
			}
		}
		if (call.arrivals() > 0 && !this.retries.tryTake(call.request().service(), now)) {
			this.ending.refuse(call, RefusalReason.OVERLOADED, "the budget for repeated sendings is spent", now);
			return;
		}
		call.use(begin(call, target.get(), Optional.empty(), now));
	}

	private boolean isBounded(DirectCall call) {
		return this.refusesHopeless && call.request().work().isPresent();
	}

	// For how long there is no room for a generation that an engine would not begin in
	// time.
	private OptionalLong waitForRoom(DirectCall call, ListedTarget target, EngineSpec engine, long now) {
		return this.admission.waitMillis(this.sender.fullnessWith(call, target, engine, now),
				call.request().route().priority(), call.request().route().goalMillis(), call.dueAt() - now);
	}

	// When the caller of a refused generation may come back. Entries don't know whom
	// others refuse: each tells times for its part of the room.
	private long comeBackMillis(DirectCall call, long waitMillis, EngineSpec engine, long now) {
		double ownMemory = this.sender.memoryTokens(call.request().service(), engine) / this.entries.entries();
		double freedIn = call.request().work().map((w) -> this.admission.freedInMillis(w, ownMemory)).orElse(0.0);
		return this.returnTimes.book(call.request().service(), call.request().route().priority(), waitMillis, freedIn,
				call.patienceEndsAt() - now, now);
	}

	// A generation ended whole.
	void ended(DirectCall call, long now) {
		call.request().work().ifPresent((w) -> this.admission.took(w, now - call.openedAt()));
	}

	// Sends a call to a target and sees to it that its connection comes up in time.
	Attempt begin(DirectCall call, ListedTarget target, Optional<ResumePoint> resume, long now) {
		Attempt attempt = this.sender.send(call, target, this.engines.apply(call), resume, now);
		this.timers.at(now + this.connectTime.limitMillis(), (t) -> connectOverdue(call, attempt, t));
		return attempt;
	}

	// The connection of an attempt came up.
	void connected(Attempt attempt, long now) {
		this.connectTime.took(now - attempt.begunAt());
	}

	private void connectOverdue(DirectCall call, Attempt attempt, long now) {
		if (call.find(attempt.number()).isPresent() && !attempt.isSent()) {
			this.outputs.abandon(call.number(), attempt.number());
			this.connectFailed.failed(call, attempt, now);
		}
	}

	// Only what may run more than once is sent again, to another target and while there
	// is time for an answer.
	boolean mayTryAgain(DirectCall call, Attempt attempt, long now) {
		DirectRequest request = call.request();
		boolean isAllowed = Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(request.route().kind().isRepeatable(),
				call.isStreaming());
		return isAllowed && !this.poison.isQuarantined(call, now) && call.runs() < request.route().maxAttempts()
				&& call.attempts() < this.settings.maxAttempts()
				&& call.dueAt() - now > request.route().goalMillis() / this.settings.timeShareToTryAgain()
				&& this.sender.hasUntried(call, attempt.target(), now) && this.retries.tryTake(request.service(), now);
	}

	void tryAgain(DirectCall call, Attempt attempt, String cause, long now) {
		this.audit.record(call.event(AuditKind.RETRIED, attempt.target().id(), cause));
		this.sender.abandon(call, attempt);
		call.tried().add(attempt.target().id());
		this.sender.choose(call, this.engines.apply(call), now)
			.ifPresentOrElse((t) -> call.use(begin(call, t, Optional.empty(), now)),
					() -> this.ending.refuse(call, RefusalReason.TARGET_LOST, cause, now));
	}

	/**
	 * Hears of a connection that did not come up in time.
	 */
	@FunctionalInterface
	interface ConnectFailure {

		/**
		 * Hear that nothing was sent.
		 * @param call the call
		 * @param attempt the attempt
		 * @param now the time in milliseconds
		 */
		void failed(DirectCall call, Attempt attempt, long now);

	}

}
