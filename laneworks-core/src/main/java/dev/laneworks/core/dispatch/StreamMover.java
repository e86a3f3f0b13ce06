package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.stream.Stream;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.GenerationMove.EndedStream;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;

/**
 * Moves running generations from a draining engine to other engines, one at a time.
 * <p>
 * The KV cache of a generation is copied while it runs, until a copy completes fast
 * enough to show that the links are idle. The generation is then stopped, the remaining
 * tokens are copied, and it resumes at the destination. An engine's link carries one copy
 * at a time, so queued copies do not lose throughput. The smallest copy goes first, which
 * maximizes the number of generations moved within the reclaim notice.
 */
final class StreamMover {

	/**
	 * Generations with fewer tokens finish within the reclaim notice and are not moved; a
	 * token takes about 8 ms.
	 */
	private static final long SHORT_GENERATION_TOKENS = 100;

	/**
	 * Maximum duration of a copy after which the generation is stopped. A faster copy met
	 * no queue on its links, so that the final one stays within the pause of 180 ms that
	 * callers allow.
	 */
	private static final long FAST_COPY_MILLIS = 60;

	/**
	 * Time after the reclaim notice from which a generation is stopped regardless of copy
	 * duration. Leaves time for the final copy within a notice of 1.5 s.
	 */
	private static final long FORCED_STOP_MILLIS = 1_250;

	/** Time after the reclaim notice from which no more copies are attempted. */
	private static final long GIVE_UP_MILLIS = 6_000;

	/** Delay before an order that could not be carried out is repeated. */
	private static final long RETRY_DELAY_MILLIS = 40;

	/** Copies up to this size bypass the turn between entries. */
	private static final long SMALL_COPY_TOKENS = 600;

	/** Time after the reclaim notice that is reserved for small copies. */
	private static final long SMALL_COPIES_FIRST_MILLIS = 70;

	/** Polling interval while another entry has the turn. */
	private static final long TURN_POLL_MILLIS = 8;

	/** Backoff of an engine that rejected a copy or failed to receive it. */
	static final long REJECTED_COPY_BACKOFF_MILLIS = 1_000;

	/** Maximum wait for the last events of a stopped generation. */
	private static final long FINAL_EVENTS_TIMEOUT_MILLIS = 40;

	/**
	 * Maximum wait for the result of a final copy once its stream has ended. Callers give
	 * up a stream that pauses for two seconds.
	 */
	private static final long FINAL_RESULT_TIMEOUT_MILLIS = 500;

	private final TargetChooser chooser;

	private final TargetEstimates estimates;

	private final StandbyCopies standbys;

	private final CopyCoordination coordination;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final Resumption resumption;

	private final Map<TargetIncarnation, MoveQueue> queues = new HashMap<>();

	StreamMover(TargetChooser chooser, TargetEstimates estimates, StandbyCopies standbys, CopyCoordination coordination,
			Timers timers, DispatchOutputs outputs, AuditSink audit, Resumption resumption) {
		this.chooser = chooser;
		this.estimates = estimates;
		this.standbys = standbys;
		this.coordination = coordination;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.resumption = resumption;
	}

	void start(DirectCall call, long now) {
		if (call.move().isPresent() || call.attempt().isEmpty() || endsSoon(call)) {
			return;
		}
		ListedTarget source = call.attempt().get().target();
		call.startMove(new GenerationMove(source));
		long noticedAt = this.estimates.of(source).drainingSince().orElse(now);
		MoveQueue queue = this.queues.computeIfAbsent(source.incarnation(),
				(incarnation) -> new MoveQueue(source, noticedAt, this.estimates));
		queue.add(call);
		// Deferred, so that all generations of the engine are queued before the first is
		// selected.
		schedulePoll(queue, now);
	}

	/**
	 * End the stream of an attempt, unless an order may have stopped its generation. Such
	 * a generation resumes at its copy or at its source once an order in progress has its
	 * result, since neither the end of the stream nor a missing answer shows whether it
	 * is whole.
	 * @param call the call of the generation
	 * @param attempt the attempt whose stream ended
	 * @param end what the framing of the stream shows
	 * @param unlessStopped receives the time if no order stopped the generation
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void endUnlessStopped(DirectCall call, Attempt attempt, StreamEnd end, LongConsumer unlessStopped, long now) {
		if (attempt.stopOrder().isEmpty()) {
			unlessStopped.accept(now);
			return;
		}
		EndedStream ended = new EndedStream(attempt, end, unlessStopped);
		Optional<GenerationMove> ordered = call.move().filter((m) -> m.phase() == CopyPhase.STOPPING);
		if (ordered.isEmpty()) {
			handleEnded(call, ended, false, now);
			return;
		}
		ordered.get().setSourceEnd(ended);
		this.timers.schedule(now + FINAL_RESULT_TIMEOUT_MILLIS, (t) -> {
			if (call.move().equals(ordered) && ordered.get().phase() == CopyPhase.STOPPING) {
				handleEnded(call, ended, false, t);
			}
		});
	}

	/**
	 * Determine whether the current move of a call issued a copy order.
	 * @param call the call that is moved
	 * @param order the copy order
	 * @return {@code false} if an earlier move or a standby copy issued the order
	 */
	boolean issued(DirectCall call, CopyOrder order) {
		return call.move().filter((m) -> m.hasIssued(order)).isPresent();
	}

	void handleCopyResult(DirectCall call, CopyOrder order, CopyResult result, long now) {
		GenerationMove move = call.move().get();
		record(call, move, (order.stopFirst() ? "final copy" : "copy while running") + " to " + order.destination().id()
				+ ": " + result.outcome() + " in " + (now - move.orderedAt()) + " ms");
		if (!result.handle().isEmpty()) {
			move.setHandle(result.handle());
		}
		if (order.stopFirst()) {
			call.attempt().ifPresent((a) -> a.recordStopResult(result, now));
		}
		if (move.phase() == CopyPhase.PRECOPY) {
			handleRunningCopy(call, move, result, now);
		}
		else if (move.phase() == CopyPhase.STOPPING) {
			handleFinalCopy(call, move, result, now);
		}
	}

	/**
	 * Release the copy of a call that ended or continues without its move.
	 * @param call the call that is moved
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void release(DirectCall call, long now) {
		call.move().ifPresent((c) -> {
			if (!c.handle().isEmpty()) {
				this.outputs.releaseCopy(c.source(), c.handle());
			}
			removeFromQueue(call, c, now);
		});
	}

	/**
	 * Record that a call resumes at its partial copy, and end its move.
	 * @param call the call that is moved
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void endMove(DirectCall call, long now) {
		call.move().ifPresent((c) -> removeFromQueue(call, c, now));
	}

	// Starts the next copy if none is in progress and this entry has the turn.
	private void copyNext(MoveQueue queue, long now) {
		Optional<DirectCall> next = queue.next(now);
		if (next.isEmpty()) {
			return;
		}
		if (!next.get().move().get().handle().isEmpty() && !mayResume(next.get(), now)) {
			requeue(queue, next.get(), now);
		}
		else if (mayRepeatStopOrder(next.get(), now)) {
			repeatStopOrder(queue, next.get(), now);
		}
		else if (mayCopyNow(queue, next.get(), now)) {
			copyWhileRunning(queue, next.get(), now);
		}
		else {
			schedulePoll(queue, now + TURN_POLL_MILLIS);
		}
	}

	// Small copies go first and need no turn; larger ones wait until they are done.
	private boolean mayCopyNow(MoveQueue queue, DirectCall next, long now) {
		long sinceNotice = queue.millisSinceNotice(now);
		if (MoveQueue.tokensToCopy(next) <= SMALL_COPY_TOKENS) {
			return true;
		}
		return sinceNotice >= SMALL_COPIES_FIRST_MILLIS
				&& this.coordination.isOwnTurn(queue.source(), sinceNotice, now);
	}

	/**
	 * Return the partial copy at which a call can resume after its source engine was
	 * lost.
	 * @param call the call that is moved
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the move whose destination holds a partial copy and accepts work, or empty
	 */
	Optional<GenerationMove> partialCopy(DirectCall call, long now) {
		return call.move()
			.filter((c) -> c.findPartialCopyHolder().filter((d) -> this.resumption.acceptsWork(d, now)).isPresent());
	}

	private void schedulePoll(MoveQueue queue, long due) {
		if (queue.markPollScheduled()) {
			this.timers.schedule(due, (t) -> {
				queue.clearPollScheduled();
				copyNext(queue, t);
			});
		}
	}

	private boolean mayRepeatStopOrder(DirectCall call, long now) {
		return call.attempt()
			.filter(Attempt::mayBeStopped)
			.flatMap(Attempt::stopOrder)
			.filter((s) -> this.resumption.acceptsWork(s.destination(), now))
			.isPresent();
	}

	// Its answer tells whether an earlier one was carried out. The answer to a copy of a
	// running generation does not.
	private void repeatStopOrder(MoveQueue queue, DirectCall call, long now) {
		GenerationMove move = call.move().get();
		Attempt attempt = call.attempt().get();
		startCopy(queue, call, attempt.stopOrder().get().destination(), attempt.reservedTokens());
		move.setPhase(CopyPhase.STOPPING);
		sendCopyOrder(call, move, now);
	}

	private void copyWhileRunning(MoveQueue queue, DirectCall call, long now) {
		GenerationMove move = call.move().get();
		Optional<EngineSpec> engine = this.resumption.engine(call);
		long tokens = call.attempt().map(Attempt::reservedTokens).orElse(0L);
		Optional<StandbyCopy> standby = this.standbys.detach(call);
		standby.ifPresent((s) -> move.setHandle(s.handle()));
		Optional<ListedTarget> partialCopy = standby.map(StandbyCopy::destination)
			.or(move::findPartialCopyHolder)
			.filter((d) -> !move.triedIds().contains(d.id()) && this.resumption.acceptsWork(d, now));
		if (partialCopy.isEmpty()) {
			releasePartialCopy(call, move);
		}
		Optional<ListedTarget> destination = partialCopy.or(() -> engine.flatMap((e) -> this.chooser
			.chooseDestination(queue.source(), call.filterWithout(move.triedIds()), e, tokens, now)));
		if (destination.isEmpty()) {
			move.triedIds().clear();
			requeue(queue, call, now);
			return;
		}
		startCopy(queue, call, destination.get(), tokens);
		move.setPhase(CopyPhase.PRECOPY);
		sendCopyOrder(call, move, now);
	}

	private void startCopy(MoveQueue queue, DirectCall call, ListedTarget destination, long tokens) {
		call.move().get().setDestination(destination, tokens);
		queue.startCopy(call);
		this.estimates.update(destination, (b) -> b.addReservedTokens(tokens));
	}

	// The source releases a stopped generation together with its copy.
	private void releasePartialCopy(DirectCall call, GenerationMove move) {
		boolean isStopOrdered = call.attempt().flatMap(Attempt::stopOrder).isPresent();
		if (!move.handle().isEmpty() && !isStopOrdered) {
			this.outputs.releaseCopy(move.source(), move.handle());
		}
		move.setHandle("");
	}

	private void sendCopyOrder(DirectCall call, GenerationMove move, long now) {
		CopyOrder order = new CopyOrder(call.request().id(), move.source(), move.destination(),
				move.phase() == CopyPhase.STOPPING);
		move.setOrder(order, now);
		if (order.stopFirst()) {
			call.attempt().ifPresent((a) -> a.recordStopOrder(move.destination(), move.handle(), now));
			record(call, move,
					"ordered to stop after event " + call.lastEvent() + ", final copy to " + move.destination().id());
		}
		this.outputs.copy(call.number(), order);
	}

	private void handleRunningCopy(DirectCall call, GenerationMove move, CopyResult result, long now) {
		MoveQueue queue = this.queues.get(move.source().incarnation());
		switch (result.outcome()) {
			case COPIED -> {
				if (this.resumption.isEvacuated(move.destination()) || this.resumption.isReplaced(move.destination())) {
					retryAtOtherEngine(queue, call, move, now);
					return;
				}
				boolean wasFast = now - move.orderedAt() <= FAST_COPY_MILLIS;
				boolean isStopDue = wasFast || queue.millisSinceNotice(now) >= FORCED_STOP_MILLIS;
				if (isStopDue && !mayResume(call, now)) {
					copyAgainLater(queue, call, move, now);
					return;
				}
				if (isStopDue) {
					move.setPhase(CopyPhase.STOPPING);
				}
				sendCopyOrder(call, move, now);
			}
			case NO_ROOM, FAILED -> {
				backOff(move.destination(), now);
				move.setHandle("");
				retryAtOtherEngine(queue, call, move, now);
			}
			// Not attributed to the destination: the source did not make the copy.
			case NOT_SENT, NO_ANSWER, UNDER_WAY, NO_SUCH_RUN -> copyAgainLater(queue, call, move, now);
		}
	}

	// A draining engine serves on for a while, so that a generation is stopped only once
	// the retry budget has enough for it and for those that were stopped before.
	private boolean mayResume(DirectCall call, long now) {
		String service = call.request().service();
		long stopped = this.queues.values()
			.stream()
			.filter((q) -> q.source().service().equals(service))
			.mapToLong((q) -> q.countStopped(call))
			.sum();
		return this.resumption.isAllowed(service, (int) stopped + 1, now);
	}

	private void copyAgainLater(MoveQueue queue, DirectCall call, GenerationMove move, long now) {
		releaseReservation(move);
		queue.endActiveCopy();
		requeue(queue, call, now);
	}

	private void retryAtOtherEngine(MoveQueue queue, DirectCall call, GenerationMove move, long now) {
		move.triedIds().add(move.destination().id());
		releasePartialCopy(call, move);
		releaseReservation(move);
		queue.endActiveCopy();
		copyWhileRunning(queue, call, now);
	}

	private void backOff(ListedTarget destination, long now) {
		this.estimates.of(destination).markFull(now + REJECTED_COPY_BACKOFF_MILLIS);
	}

	private void requeue(MoveQueue queue, DirectCall call, long now) {
		GenerationMove move = call.move().get();
		if (queue.millisSinceNotice(now) > GIVE_UP_MILLIS) {
			removeFromQueue(call, move, now);
			return;
		}
		move.setPhase(CopyPhase.WAITING);
		move.setNotBefore(now + RETRY_DELAY_MILLIS);
		queue.requeue(call);
		this.timers.schedule(move.notBefore(), (t) -> {
			if (queue.markReady(call)) {
				copyNext(queue, t);
			}
		});
		copyNext(queue, now);
	}

	private void handleFinalCopy(DirectCall call, GenerationMove move, CopyResult result, long now) {
		Optional<EndedStream> ended = move.sourceEnd();
		boolean isCopied = result.outcome() == CopyResult.Outcome.COPIED;
		if (isCopied) {
			move.setPhase(CopyPhase.STOPPED);
		}
		if (ended.isPresent()) {
			handleEnded(call, ended.get(), result.outcome().isRejectedBySource(), now);
		}
		else if (isCopied) {
			this.timers.schedule(now + FINAL_EVENTS_TIMEOUT_MILLIS, (t) -> resumeStopped(call, move, t));
		}
		else {
			copyAgainLater(this.queues.get(move.source().incarnation()), call, move, now);
		}
	}

	private void resumeStopped(DirectCall call, GenerationMove move, long now) {
		if (call.move().orElse(null) == move) {
			call.attempt().ifPresent((a) -> resume(call, a, holders(a, false, now), now));
		}
	}

	private void handleEnded(DirectCall call, EndedStream ended, boolean isSourcePreferred, long now) {
		Attempt attempt = ended.attempt();
		List<ListedTarget> holders = holders(attempt, isSourcePreferred, now);
		boolean isWhole = ended.end() == StreamEnd.MARKED && (!attempt.mayBeStopped()
				|| attempt.stopOrder().filter((s) -> s.isOutlived(call.lastEventAt())).isPresent());
		if (isWhole || (!attempt.mayBeStopped() && holders.isEmpty())) {
			ended.unlessStopped().accept(now);
		}
		else {
			resume(call, attempt, holders, now);
		}
	}

	// The engines at which a stopped generation may resume; its source keeps it as well.
	private List<ListedTarget> holders(Attempt attempt, boolean isSourcePreferred, long now) {
		Optional<ListedTarget> copyHolder = attempt.stopOrder()
			.filter((s) -> !s.handle().isEmpty())
			.map(StopOrder::destination);
		ListedTarget source = attempt.target();
		return copyHolder.stream()
			.flatMap((c) -> isSourcePreferred ? Stream.of(source, c) : Stream.of(c, source))
			.filter((h) -> this.resumption.mayResume(h, now))
			.toList();
	}

	private void resume(DirectCall call, Attempt attempt, List<ListedTarget> holders, long now) {
		String handle = attempt.stopOrder().get().handle();
		this.audit.record(call.event(AuditKind.MOVED, attempt.target().id(), "resumes after event " + call.lastEvent()
				+ attempt.describeStop(now) + ", holders " + holders.stream().map(ListedTarget::id).toList()));
		call.move().ifPresent((m) -> removeFromQueue(call, m, now));
		this.resumption.resume(call, holders, new ResumePoint(attempt.target().address(), handle, call.lastEventText()),
				now);
	}

	private void removeFromQueue(DirectCall call, GenerationMove move, long now) {
		releaseReservation(move);
		MoveQueue queue = this.queues.get(move.source().incarnation());
		queue.remove(call);
		call.endMove();
		if (queue.isEmpty()) {
			this.queues.remove(move.source().incarnation());
			return;
		}
		copyNext(queue, now);
	}

	// Releases the destination memory reserved for the copy; the resumed attempt reserves
	// it again.
	private void releaseReservation(GenerationMove move) {
		long tokens = move.reservedTokens();
		if (tokens > 0) {
			this.estimates.update(move.destination(), (b) -> b.addReservedTokens(-tokens));
			move.setDestination(move.destination(), 0);
		}
	}

	// A generation that finishes within the reclaim notice needs no move and would only
	// delay others.
	private static boolean endsSoon(DirectCall call) {
		return call.request().size().filter((w) -> w.maxTokens() >= SHORT_GENERATION_TOKENS).isEmpty();
	}

	private void record(DirectCall call, GenerationMove move, String cause) {
		this.audit.record(call.event(AuditKind.MOVED, move.source().id(), cause));
	}

	/**
	 * Resumes calls after a move and answers whether a target can be used for it.
	 * Implemented by the dispatcher.
	 */
	interface Resumption {

		/**
		 * Send the request to an engine that holds its generation. The call is lost if
		 * none accepts it.
		 * @param call the call to resume
		 * @param holders the engines that hold the generation or a copy of it, in the
		 * order in which they are tried
		 * @param from the copy and the last event that the caller received
		 * @param now the current time in milliseconds of the monotonic clock
		 */
		void resume(DirectCall call, List<ListedTarget> holders, ResumePoint from, long now);

		/**
		 * Determine whether generations may resume now.
		 * @param service the service of the generations
		 * @param count the number of generations
		 * @param now the current time in milliseconds of the monotonic clock
		 * @return {@code false} if the retry budget has too little left
		 */
		boolean isAllowed(String service, int count, long now);

		/**
		 * Determine whether a target may receive work.
		 * @param target the target to check
		 * @param now the current time in milliseconds of the monotonic clock
		 * @return {@code true} if the target is listed, not draining and not suspected
		 * unreachable
		 */
		boolean acceptsWork(ListedTarget target, long now);

		/**
		 * Determine whether a generation may resume at a target.
		 * @param target the target to check
		 * @param now the current time in milliseconds of the monotonic clock
		 * @return {@code false} if the target departed too long ago, started again, or
		 * must not receive work
		 */
		boolean mayResume(ListedTarget target, long now);

		/**
		 * Determine whether a target must not receive work although it stays listed.
		 * @param target the target to check
		 * @return {@code true} if its data centre is evacuated
		 */
		boolean isEvacuated(ListedTarget target);

		/**
		 * Determine whether an incarnation of a target was replaced by a newer one.
		 * @param target the incarnation to check
		 * @return {@code true} if its generations and copies are lost
		 */
		boolean isReplaced(ListedTarget target);

		/**
		 * Return the capabilities of the engines that serve a call.
		 * @param call the call that is moved
		 * @return the capabilities, or empty if the current plan does not define them
		 */
		Optional<EngineSpec> engine(DirectCall call);

	}

}
