package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.returns.RetryTime;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.waiting.EngineMemory;
import dev.laneworks.core.waiting.GenerationQueues;
import dev.laneworks.core.waiting.QueuePosition;
import dev.laneworks.core.waiting.QueueRefusal;
import dev.laneworks.core.waiting.QueuedGeneration;

/**
 * Starts the generations of governed services when an engine has memory for them, as
 * decided by {@link GenerationQueues}.
 */
final class QueuedStarts {

	private static final double PERCENT = 100;

	private final GenerationQueues queues;

	// The open calls by number; shared with the dispatcher.
	private final Map<Long, DirectCall> calls;

	private final AttemptSender sender;

	private final Timers timers;

	private final AuditSink audit;

	private final Function<DirectCall, Optional<EngineSpec>> engines;

	private Starter starter;

	/** The services for which the next paced check is scheduled. */
	private final Set<String> checked = new HashSet<>();

	QueuedStarts(GenerationQueues queues, Map<Long, DirectCall> calls, AttemptSender sender, Timers timers,
			AuditSink audit, Function<DirectCall, Optional<EngineSpec>> engines) {
		this.queues = queues;
		this.calls = calls;
		this.sender = sender;
		this.timers = timers;
		this.audit = audit;
		this.engines = engines;
	}

	void use(Starter attempts) {
		this.starter = attempts;
	}

	// Whether the generation of a call waits for memory instead of being refused.
	boolean governs(DirectCall call) {
		return this.queues.governed().contains(call.request().service()) && call.request().size().isPresent();
	}

	/**
	 * Start the generation of a call, queue it, or refuse it.
	 * @param call the call of a governed service, which no target executes
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void offer(DirectCall call, long now) {
		QueuedGeneration generation = call.place(() -> describe(call, now));
		String service = call.request().service();
		if (this.queues.isNext(service, generation, now) && tryStart(call, generation, now)) {
			return;
		}
		EngineMemory memory = memory(call, now);
		QueuePosition position = this.queues.position(service, generation, memory, now);
		Optional<QueueRefusal> refusal = this.queues.enqueue(service, generation, memory, now);
		if (refusal.filter((r) -> r.generation().equals(generation)).isEmpty()) {
			call.waitBehind(position.countAhead(), now);
			recordQueued(call, position, now);
			scheduleChecks(service, generation, now);
		}
		refusal.ifPresent((r) -> refuse(r, now));
	}

	private void scheduleChecks(String service, QueuedGeneration generation, long now) {
		this.timers.schedule(generation.waitsUntil(), (t) -> refuseExpired(service, t));
		if (this.checked.add(service)) {
			scheduleCheck(service, now);
		}
	}

	private void scheduleCheck(String service, long now) {
		this.timers.schedule(now + this.queues.nextCheckMillis(service), (t) -> check(service, t));
	}

	private void check(String service, long now) {
		startNext(service, now);
		if (this.queues.isWaiting(service)) {
			scheduleCheck(service, now);
		}
		else {
			this.checked.remove(service);
		}
	}

	/**
	 * Handle the end of a call: take it out of the queue, and use the memory that it
	 * releases for the next generation.
	 * @param call the call that ended
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleEnd(DirectCall call, long now) {
		String service = call.request().service();
		this.queues.remove(service, call.number());
		if (call.attempts() > 0 && this.queues.isWaiting(service)) {
			// Not at once: the end may be part of a change that is not complete yet.
			this.timers.schedule(now, (t) -> startNext(service, t));
		}
	}

	/**
	 * Refuse the queued generations that cannot complete before this process ends.
	 * @param canFinish whether a request that starts now completes in time
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void refuseUnfinishable(Predicate<DirectRequest> canFinish, long now) {
		List.copyOf(this.calls.values())
			.stream()
			.filter((c) -> this.queues.isQueued(c.request().service(), c.number()) && !canFinish.test(c.request()))
			.forEach((c) -> this.starter.refuseLeaving(c, now));
	}

	void recordFirstEvent(DirectCall call, Attempt attempt, long now) {
		if (governs(call) && attempt.resume().isEmpty()) {
			this.queues.recordFirstEvent(call.request().service(), call.request().route().routePriority(),
					now - attempt.startedAt());
		}
	}

	void recordCompleted(DirectCall call, long now) {
		if (governs(call)) {
			long followed = (call.eventCount() - 1)
					* this.engines.apply(call).map(EngineSpec::tokensPerEvent).orElse(0);
			long held = call.attempt().map(Attempt::reservedTokens).orElse(0L);
			this.queues.recordCompleted(call.request().service(), held, now - call.startedAt());
			this.queues.recordStream(call.request().service(), followed,
					now - call.openedAt() - call.firstEventMillis());
		}
	}

	// Starts at most one generation, the first in order for which an engine has memory.
	// Those behind one that finds no memory do not overtake it in the same memory.
	private void startNext(String service, long now) {
		refuseExpired(service, now);
		List<QueuedGeneration> waiting = new ArrayList<>();
		for (QueuedGeneration generation : this.queues.inOrder(service, now)) {
			if (waiting.stream().noneMatch((w) -> w.holdsBack(generation))
					&& tryStart(this.calls.get(generation.call()), generation, now)) {
				return;
			}
			waiting.add(generation);
		}
	}

	private void refuseExpired(String service, long now) {
		this.queues.removeExpired(service, now).forEach((r) -> refuse(r, now));
	}

	private boolean tryStart(DirectCall call, QueuedGeneration generation, long now) {
		double limit = this.queues.maxUtilization(call.request().service(), generation.routePriority(), now);
		Optional<ListedTarget> target = leavesMemoryFree(call, generation, limit, now)
				? this.engines.apply(call).flatMap((e) -> this.sender.chooseWithRoom(call, e, limit, now))
				: Optional.empty();
		target.ifPresent((t) -> {
			this.queues.remove(call.request().service(), call.number());
			this.starter.start(call, t, now);
		});
		return target.isPresent();
	}

	private boolean leavesMemoryFree(DirectCall call, QueuedGeneration generation, double limit, long now) {
		long toLeave = this.queues.tokensToLeaveFree(call.request().service(), generation.account(), now);
		if (toLeave == 0) {
			return true;
		}
		EngineMemory memory = memory(call, now);
		return (limit - memory.utilization()) * memory.totalTokens() >= generation.memoryTokens() + toLeave;
	}

	private void refuse(QueueRefusal refusal, long now) {
		DirectCall call = this.calls.get(refusal.generation().call());
		long wait = this.queues.position(call.request().service(), refusal.generation(), memory(call, now), now)
			.expectedWaitMillis();
		RetryTime retry = this.queues.retryTime(call.request().service(), refusal.generation(), memory(call, now),
				call.callerTimeoutAt() - now, now);
		this.starter.refuse(call, refusal.cause().detail() + ", after " + (now - call.openedAt())
				+ " ms, expected wait " + wait + " ms" + retry.detail(), retry.millis(), now);
	}

	private QueuedGeneration describe(DirectCall call, long now) {
		DirectRequest request = call.request();
		GenerationSize size = request.size().orElseThrow();
		OptionalLong hint = size.expectedTokens();
		long expected = hint.isPresent() ? Math.min(hint.getAsLong(), size.maxTokens()) : size.maxTokens();
		long timeout = call.dueAt() - call.openedAt();
		return new QueuedGeneration(call.number(), request.route().priority(), request.route().routePriority(),
				request.account(), request.regions(), size.reservedTokens(0), expected, call.openedAt(),
				this.queues.firstArrivalAt(request.route().name(), timeout, call.openedAt()),
				request.route().goalMillis(), call.dueAt());
	}

	private EngineMemory memory(DirectCall call, long now) {
		return this.engines.apply(call)
			.map((e) -> this.sender.memory(call.request().service(), e, now))
			.orElse(new EngineMemory(0, 1));
	}

	private void recordQueued(DirectCall call, QueuePosition position, long now) {
		double limit = this.queues.maxUtilization(call.request().service(), call.request().route().routePriority(),
				now);
		String best = this.engines.apply(call)
			.flatMap((e) -> this.sender.chooseLeastUtilized(call, e, now)
				.map((t) -> t.id() + " at " + percent(this.sender.utilizationWith(call, t, e, now)) + "% with it"))
			.orElse("none");
		this.audit.record(call.event(AuditKind.QUEUED, "", position.describe() + ", limit " + percent(limit)
				+ "%, least used engine " + best + ", " + this.queues.describePeers(call.request().service())));
	}

	private static long percent(double part) {
		return Math.round(PERCENT * part);
	}

	/**
	 * Carries out the decisions about one call.
	 */
	interface Starter {

		/**
		 * Send a generation to an engine, unless its request is quarantined or the retry
		 * budget is exhausted.
		 * @param call the call of the generation
		 * @param target the engine that has memory for it
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void start(DirectCall call, ListedTarget target, long now);

		/**
		 * Refuse a generation that is not to wait.
		 * @param call the call of the generation
		 * @param detail the reason for the caller's operator
		 * @param retryAfterMillis the time after which the caller is to return, in
		 * milliseconds
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void refuse(DirectCall call, String detail, long retryAfterMillis, long now);

		/**
		 * Refuse a generation that another entry can serve, since this one ends.
		 * @param call the call of the generation
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void refuseLeaving(DirectCall call, long now);

	}

}
