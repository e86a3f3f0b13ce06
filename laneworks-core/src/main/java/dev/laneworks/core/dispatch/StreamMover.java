package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;

/**
 * Moves running generations from an engine that is leaving to others, one after the
 * other.
 * <p>
 * A generation's memory is copied while the run goes on, until a round finds the links
 * without a queue; then the run is stopped, the little that is new is copied, and the
 * generation goes on at the copy. The engine's link carries one copy at a time anyway, so
 * that a queue of our own costs nothing and spares each generation the wait for the
 * copies behind it. The smallest goes first, since most are saved so.
 */
final class StreamMover {

	/**
	 * The most tokens of a generation that ends within any notice; a token takes about
	 * eight milliseconds.
	 */
	private static final long SHORT_TOKENS = 100;

	/**
	 * A copy that took no longer than this met links without a queue, in milliseconds.
	 * The run is stopped behind such a one, since the pause that callers allow is 180 ms.
	 */
	private static final long QUICK_MILLIS = 60;

	/**
	 * How long after the notice the run is stopped whatever the links' queues, in
	 * milliseconds; leaves time for the last part within a notice of a second and a half.
	 */
	private static final long LATEST_MILLIS = 1_250;

	/** How long after the notice no more copies are tried, in milliseconds. */
	private static final long HOPELESS_MILLIS = 6_000;

	/** The wait before an order that could not be carried out is given again. */
	private static final long AGAIN_MILLIS = 40;

	/** What is copied within a few milliseconds, in tokens. */
	private static final long NEARLY_COPIED_TOKENS = 600;

	/** How long after the notice whole copies wait for what is nearly copied. */
	private static final long NEARLY_COPIED_MILLIS = 70;

	/** How often it is looked whether the turn has come, in milliseconds. */
	private static final long LOOK_MILLIS = 8;

	/** How long an engine that took no copy is left alone, in milliseconds. */
	static final long AVOID_MILLIS = 1_000;

	/** How long the stopped run's last events are waited for, in milliseconds. */
	private static final long LAST_EVENTS_MILLIS = 40;

	private final TargetChooser chooser;

	private final TargetBeliefs beliefs;

	private final StandbyCopies standbys;

	private final CopyTurn turn;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final Resumption resumption;

	private final Map<TargetRun, MoveQueue> queues = new HashMap<>();

	StreamMover(TargetChooser chooser, TargetBeliefs beliefs, StandbyCopies standbys, CopyTurn turn, Timers timers,
			DispatchOutputs outputs, AuditSink audit, Resumption resumption) {
		this.chooser = chooser;
		this.beliefs = beliefs;
		this.standbys = standbys;
		this.turn = turn;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.resumption = resumption;
	}

	void start(DirectCall call, long now) {
		if (call.copying().isPresent() || call.attempt().isEmpty() || endsSoon(call)) {
			return;
		}
		ListedTarget source = call.attempt().get().target();
		call.copy(new Copying(source));
		long noticedAt = this.beliefs.of(source).leavingSince().orElse(now);
		MoveQueue queue = this.queues.computeIfAbsent(source.run(),
				(run) -> new MoveQueue(source, noticedAt, this.beliefs));
		queue.add(call);
		// All that run there are to be queued before the first is chosen.
		lookAgain(queue, now);
	}

	/**
	 * Take that the connection to the source ended.
	 * @param call the call
	 * @param now the time in milliseconds
	 * @return whether that was to be expected, because the run was told to stop
	 */
	boolean expectsEnd(DirectCall call, long now) {
		Optional<Copying> copying = call.copying();
		if (copying.isEmpty() || copying.get().phase() == CopyPhase.WAITING
				|| copying.get().phase() == CopyPhase.AHEAD) {
			return false;
		}
		copying.get().sourceClosed();
		if (copying.get().phase() == CopyPhase.STOPPED) {
			goOn(call, copying.get(), now);
		}
		return true;
	}

	/**
	 * Return whether a copy was ordered by the move that is under way.
	 * @param call the call
	 * @param order the order
	 * @return {@code false} if it was ordered otherwise or by an earlier move
	 */
	boolean ordered(DirectCall call, CopyOrder order) {
		return call.copying()
			.filter((c) -> c.phase() != CopyPhase.WAITING && c.source().isSameRun(order.source())
					&& c.destination().isSameRun(order.destination()))
			.isPresent();
	}

	void copied(DirectCall call, CopyOrder order, CopyResult result, long now) {
		Copying copying = call.copying().get();
		record(call, copying, (order.stop() ? "last part" : "first part") + " to " + order.destination().id() + ": "
				+ result.outcome() + " in " + (now - copying.orderedAt()) + " ms");
		if (!result.handle().isEmpty()) {
			copying.handle(result.handle());
		}
		if (copying.phase() == CopyPhase.AHEAD) {
			copiedAhead(call, copying, result, now);
		}
		else if (copying.phase() == CopyPhase.STOPPING) {
			copiedLast(call, copying, result, now);
		}
	}

	/**
	 * Let go of a copy whose call is over or goes on otherwise.
	 * @param call the call
	 * @param now the time in milliseconds
	 */
	void ended(DirectCall call, long now) {
		call.copying().ifPresent((c) -> {
			if (!c.handle().isEmpty() && c.phase() != CopyPhase.STOPPED) {
				this.outputs.releaseCopy(c.source(), c.handle());
			}
			leaveQueue(call, c, now);
		});
	}

	/**
	 * Take that a call goes on at what was copied of it.
	 * @param call the call
	 * @param now the time in milliseconds
	 */
	void taken(DirectCall call, long now) {
		call.copying().ifPresent((c) -> leaveQueue(call, c, now));
	}

	// Copies the next generation if none is being copied and it is this process's turn.
	private void look(MoveQueue queue, long now) {
		Optional<DirectCall> next = queue.next(now);
		if (next.isEmpty()) {
			return;
		}
		if (mayGo(queue, next.get(), now)) {
			copyAhead(queue, next.get(), now);
		}
		else {
			lookAgain(queue, now + LOOK_MILLIS);
		}
	}

	// What is nearly copied goes first and needs no turn; whole copies wait for it.
	private boolean mayGo(MoveQueue queue, DirectCall next, long now) {
		long sinceNotice = queue.sinceNotice(now);
		if (MoveQueue.tokensToCopy(next) <= NEARLY_COPIED_TOKENS) {
			return true;
		}
		return sinceNotice >= NEARLY_COPIED_MILLIS && this.turn.isOurs(queue.source(), sinceNotice, now);
	}

	/**
	 * Return the copy that a call can go on at though its move is not done, because its
	 * engine is lost.
	 * @param call the call
	 * @param now the time in milliseconds
	 * @return the copying whose destination has a part, if it can be used
	 */
	Optional<Copying> copyAtHand(DirectCall call, long now) {
		return call.copying()
			.filter((c) -> c.partStandsAt().filter((d) -> this.resumption.takesWork(d, now)).isPresent());
	}

	private void lookAgain(MoveQueue queue, long due) {
		if (queue.askForLook()) {
			this.timers.at(due, (t) -> {
				queue.looked();
				look(queue, t);
			});
		}
	}

	private void copyAhead(MoveQueue queue, DirectCall call, long now) {
		Copying copying = call.copying().get();
		Optional<EngineSpec> engine = this.resumption.engine(call);
		long tokens = call.attempt().map(Attempt::heldTokens).orElse(0L);
		Optional<Standby> standby = this.standbys.take(call);
		standby.ifPresent((s) -> copying.handle(s.handle()));
		Optional<ListedTarget> begun = standby.map(Standby::destination)
			.or(copying::partStandsAt)
			.filter((d) -> !copying.tried().contains(d.id()) && this.resumption.takesWork(d, now));
		if (begun.isEmpty()) {
			dropPart(copying);
		}
		Optional<ListedTarget> destination = begun.or(() -> engine.flatMap((e) -> this.chooser
			.chooseDestination(queue.source(), call.scopeWithout(copying.tried()), e, tokens, now)));
		if (destination.isEmpty()) {
			copying.tried().clear();
			putBack(queue, call, now);
			return;
		}
		copying.to(destination.get(), tokens);
		queue.begin(call);
		this.beliefs.change(destination.get(), (b) -> b.held(tokens));
		copying.enter(CopyPhase.AHEAD);
		order(call, copying, now);
	}

	private void dropPart(Copying copying) {
		if (!copying.handle().isEmpty()) {
			this.outputs.releaseCopy(copying.source(), copying.handle());
			copying.handle("");
		}
	}

	private void order(DirectCall call, Copying copying, long now) {
		copying.ordered(now);
		this.outputs.copy(call.number(), new CopyOrder(call.request().id(), copying.source(), copying.destination(),
				copying.phase() == CopyPhase.STOPPING));
	}

	private void copiedAhead(DirectCall call, Copying copying, CopyResult result, long now) {
		MoveQueue queue = this.queues.get(copying.source().run());
		switch (result.outcome()) {
			case COPIED -> {
				if (this.resumption.isEvacuated(copying.destination())
						|| this.resumption.isOver(copying.destination())) {
					copyElsewhere(queue, call, copying, now);
					return;
				}
				boolean wasQuick = now - copying.orderedAt() <= QUICK_MILLIS;
				if (wasQuick || queue.sinceNotice(now) >= LATEST_MILLIS) {
					copying.enter(CopyPhase.STOPPING);
				}
				order(call, copying, now);
			}
			case NO_ROOM, FAILED -> {
				avoid(copying.destination(), now);
				copying.handle("");
				copyElsewhere(queue, call, copying, now);
			}
			// Nothing is wrong with the destination; the run's own connection tells more.
			case NO_ANSWER, UNDER_WAY, NO_SUCH_RUN -> {
				release(copying);
				queue.endActive();
				putBack(queue, call, now);
			}
		}
	}

	private void copyElsewhere(MoveQueue queue, DirectCall call, Copying copying, long now) {
		copying.tried().add(copying.destination().id());
		dropPart(copying);
		release(copying);
		queue.endActive();
		copyAhead(queue, call, now);
	}

	// A destination without room, or one that is dead, is left alone for a moment.
	private void avoid(ListedTarget destination, long now) {
		this.beliefs.of(destination).full(now + AVOID_MILLIS);
	}

	private void putBack(MoveQueue queue, DirectCall call, long now) {
		Copying copying = call.copying().get();
		if (queue.sinceNotice(now) > HOPELESS_MILLIS) {
			leaveQueue(call, copying, now);
			return;
		}
		copying.enter(CopyPhase.WAITING);
		copying.notBefore(now + AGAIN_MILLIS);
		queue.putBack(call);
		this.timers.at(copying.notBefore(), (t) -> {
			if (queue.readyAgain(call)) {
				look(queue, t);
			}
		});
		look(queue, now);
	}

	private void copiedLast(DirectCall call, Copying copying, CopyResult result, long now) {
		if (result.outcome() == CopyResult.Outcome.COPIED) {
			copying.enter(CopyPhase.STOPPED);
			if (copying.isSourceClosed()) {
				goOn(call, copying, now);
			}
			else {
				this.timers.at(now + LAST_EVENTS_MILLIS, (t) -> goOn(call, copying, t));
			}
			return;
		}
		stoppedWithoutCopy(call, copying, result, now);
	}

	// The run has stopped or not: where its memory stands at the source it goes on there,
	// and where the source is gone at the part that was copied before.
	private void stoppedWithoutCopy(DirectCall call, Copying copying, CopyResult result, long now) {
		if (!copying.isSourceClosed()) {
			MoveQueue queue = this.queues.get(copying.source().run());
			release(copying);
			queue.endActive();
			putBack(queue, call, now);
			return;
		}
		if (copying.handle().isEmpty()) {
			leaveQueue(call, copying, now);
			this.resumption.lost(call, "the generation stopped and its copy can't be used", now);
			return;
		}
		if (result.outcome() != CopyResult.Outcome.NO_ANSWER && !this.resumption.isOver(copying.source())) {
			goBackToSource(copying);
		}
		copying.enter(CopyPhase.STOPPED);
		goOn(call, copying, now);
	}

	// The run that was stopped stands at the source until it goes on.
	private void goBackToSource(Copying copying) {
		release(copying);
		copying.to(copying.source(), 0);
	}

	private void goOn(DirectCall call, Copying copying, long now) {
		if (call.copying().orElse(null) != copying) {
			return;
		}
		if (this.resumption.isOver(copying.destination())) {
			goBackToSource(copying);
		}
		if (this.resumption.isOver(copying.destination())) {
			leaveQueue(call, copying, now);
			this.resumption.lost(call, "both engines of its move started again", now);
			return;
		}
		ListedTarget destination = copying.destination();
		long sinceNotice = this.queues.get(copying.source().run()).sinceNotice(now);
		record(call, copying, "goes on at " + destination.id() + " behind event " + call.lastEvent() + ", "
				+ sinceNotice + " ms after the notice");
		leaveQueue(call, copying, now);
		this.resumption.resume(call, destination,
				new ResumePoint(copying.source().address(), copying.handle(), call.lastEventText()), now);
	}

	private void leaveQueue(DirectCall call, Copying copying, long now) {
		release(copying);
		MoveQueue queue = this.queues.get(copying.source().run());
		queue.remove(call);
		call.endCopy();
		if (queue.isEmpty()) {
			this.queues.remove(copying.source().run());
			return;
		}
		look(queue, now);
	}

	// Memory was promised to the copy at its destination; the attempt promises it anew.
	private void release(Copying copying) {
		long tokens = copying.promisedTokens();
		if (tokens > 0) {
			this.beliefs.change(copying.destination(), (b) -> b.held(-tokens));
			copying.to(copying.destination(), 0);
		}
	}

	// A generation that ends within the notice needs no move, and its copy would hold up
	// others.
	private static boolean endsSoon(DirectCall call) {
		return call.request().work().filter((w) -> w.maxTokens() >= SHORT_TOKENS).isEmpty();
	}

	private void record(DirectCall call, Copying copying, String cause) {
		this.audit.record(call.event(AuditKind.MOVED, copying.source().id(), cause));
	}

	/**
	 * How a call goes on after a move.
	 */
	interface Resumption {

		/**
		 * Send the request to where its copy is.
		 * @param call the call
		 * @param destination the engine that holds the copy
		 * @param from where the generation goes on from
		 * @param now the time in milliseconds
		 */
		void resume(DirectCall call, ListedTarget destination, ResumePoint from, long now);

		/**
		 * Take that the run stopped and no copy of it can be used.
		 * @param call the call
		 * @param cause what was seen
		 * @param now the time in milliseconds
		 */
		void lost(DirectCall call, String cause, long now);

		/**
		 * Return whether a target may be sent work.
		 * @param target the target
		 * @param now the time in milliseconds
		 * @return whether it is listed, not leaving and not doubted
		 */
		boolean takesWork(ListedTarget target, long now);

		/**
		 * Return whether nothing may be sent to a target though it stays.
		 * @param target the target
		 * @return whether its data centre is evacuated
		 */
		boolean isEvacuated(ListedTarget target);

		/**
		 * Return whether the run of a target is over because another one is listed.
		 * @param target the target
		 * @return whether nothing of what ran or was copied there is left
		 */
		boolean isOver(ListedTarget target);

		/**
		 * Return what the call's engines can do.
		 * @param call the call
		 * @return what they can do, or empty if the plan no longer tells
		 */
		Optional<EngineSpec> engine(DirectCall call);

	}

}
