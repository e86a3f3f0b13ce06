package dev.laneworks.core.dispatch;

import java.util.Optional;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.DirectCall.Copying;
import dev.laneworks.core.dispatch.DirectCall.Phase;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;

/**
 * Moves running generations from an engine that is leaving to others.
 * <p>
 * The memory is copied while the run goes on. Copies of all streams share the engine's
 * link, so that the time which a round takes tells how long the link's queue is. The run
 * is stopped when a round was quick, since then the rest is copied within a pause that
 * the caller doesn't see, or when the notice is nearly over.
 */
final class StreamMover {

	/**
	 * A round that took no longer than this met a link without a queue, in milliseconds;
	 * the pause that callers allow is 180 ms, of which the rest is for going on
	 * elsewhere.
	 */
	private static final long QUICK_MILLIS = 70;

	/**
	 * How long after the notice the run is stopped at the latest, in milliseconds; the
	 * shortest notice measured is 1,540 ms.
	 */
	private static final long LATEST_MILLIS = 1_150;

	/** How long after the notice no more copies are tried, in milliseconds. */
	private static final long HOPELESS_MILLIS = 4_000;

	/** The wait before an order that could not be carried out is given again. */
	private static final long AGAIN_MILLIS = 40;

	/** How long the stopped run's last events are waited for, in milliseconds. */
	private static final long LAST_EVENTS_MILLIS = 40;

	/**
	 * The most tokens of a generation that ends within any notice; a token takes about
	 * eight milliseconds.
	 */
	private static final long SHORT_TOKENS = 100;

	private final TargetChooser chooser;

	private final TargetBeliefs beliefs;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final Resumption resumption;

	StreamMover(TargetChooser chooser, TargetBeliefs beliefs, Timers timers, DispatchOutputs outputs, AuditSink audit,
			Resumption resumption) {
		this.chooser = chooser;
		this.beliefs = beliefs;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.resumption = resumption;
	}

	void start(DirectCall call, EngineSpec engine, long now) {
		if (call.copying().isPresent() || call.attempt().isEmpty() || endsSoon(call)) {
			return;
		}
		Copying copying = new Copying(call.attempt().get().target(), now);
		call.copy(copying);
		copyTo(call, copying, engine, now);
	}

	/**
	 * Take that the connection to the source ended.
	 * @return whether that was to be expected, because the run was told to stop
	 */
	boolean expectsEnd(DirectCall call, long now) {
		Optional<Copying> copying = call.copying();
		if (copying.isEmpty() || copying.get().phase() == Phase.AHEAD) {
			return false;
		}
		copying.get().sourceClosed();
		if (copying.get().phase() == Phase.STOPPED) {
			goOn(call, copying.get(), now);
		}
		return true;
	}

	void copied(DirectCall call, CopyOrder order, CopyResult result, long now) {
		Copying copying = call.copying().orElse(null);
		if (copying == null || !copying.source().id().equals(order.source().id())) {
			return;
		}
		record(call, copying, (order.stop() ? "last part" : "part") + " copied: " + result.outcome() + " in "
				+ (now - copying.roundStartedAt()) + " ms");
		if (!result.handle().isEmpty()) {
			copying.handle(result.handle());
		}
		if (copying.phase() == Phase.AHEAD) {
			copiedAhead(call, copying, result, now);
		}
		else if (copying.phase() == Phase.STOPPING) {
			copiedLast(call, copying, result, now);
		}
	}

	/**
	 * Let go of a copy whose call is over.
	 */
	void ended(DirectCall call) {
		call.copying().ifPresent((c) -> {
			release(call, c);
			if (!c.handle().isEmpty() && c.phase() != Phase.STOPPED) {
				this.outputs.releaseCopy(c.source(), c.handle());
			}
		});
		call.endCopy();
	}

	// A generation that ends within the notice needs no move, and its copy would hold up
	// others.
	private static boolean endsSoon(DirectCall call) {
		return call.request().work().filter((w) -> w.maxTokens() >= SHORT_TOKENS).isEmpty();
	}

	private void copyTo(DirectCall call, Copying copying, EngineSpec engine, long now) {
		if (!isUnderWay(call, copying) || now - copying.noticedAt() > HOPELESS_MILLIS) {
			return;
		}
		long tokens = call.request().work().map(EngineWork::meanTokens).orElse(0L);
		Optional<ListedTarget> destination = this.chooser.chooseDestination(copying.source(), engine, tokens,
				copying.tried(), now);
		if (destination.isEmpty()) {
			copying.tried().clear();
			this.timers.at(now + AGAIN_MILLIS, (t) -> copyTo(call, copying, engine, t));
			return;
		}
		copying.to(destination.get());
		this.beliefs.of(destination.get()).began(tokens);
		round(call, copying, now);
	}

	private void round(DirectCall call, Copying copying, long now) {
		if (!isUnderWay(call, copying)) {
			return;
		}
		copying.roundStarted(now);
		this.outputs.copy(call.number(), new CopyOrder(call.request().id(), copying.source(), copying.destination(),
				copying.phase() == Phase.STOPPING));
	}

	private void copiedAhead(DirectCall call, Copying copying, CopyResult result, long now) {
		switch (result.outcome()) {
			case COPIED -> {
				boolean wasQuick = now - copying.roundStartedAt() <= QUICK_MILLIS;
				if (wasQuick || now - copying.noticedAt() >= LATEST_MILLIS) {
					copying.enter(Phase.STOPPING);
				}
				round(call, copying, now);
			}
			case NO_ROOM -> {
				release(call, copying);
				copying.tried().add(copying.destination().id());
				copying.to(null);
				again(call, copying, now);
			}
			case UNDER_WAY, FAILED, NO_SUCH_RUN -> again(call, copying, now);
		}
	}

	private void again(DirectCall call, Copying copying, long now) {
		if (now - copying.noticedAt() > HOPELESS_MILLIS) {
			return;
		}
		this.timers.at(now + AGAIN_MILLIS, (t) -> {
			if (copying.destination() != null) {
				round(call, copying, t);
			}
			else {
				this.resumption.engine(call).ifPresent((e) -> copyTo(call, copying, e, t));
			}
		});
	}

	private void copiedLast(DirectCall call, Copying copying, CopyResult result, long now) {
		switch (result.outcome()) {
			case COPIED -> {
				copying.enter(Phase.STOPPED);
				if (copying.isSourceClosed()) {
					goOn(call, copying, now);
					return;
				}
				this.timers.at(now + LAST_EVENTS_MILLIS, (t) -> goOn(call, copying, t));
			}
			case NO_ROOM, FAILED, NO_SUCH_RUN, UNDER_WAY -> stoppedWithoutCopy(call, copying, now);
		}
	}

	// The run has stopped or not: where its memory stands at the source it goes on there.
	private void stoppedWithoutCopy(DirectCall call, Copying copying, long now) {
		if (!copying.handle().isEmpty() && copying.isSourceClosed()) {
			release(call, copying);
			copying.to(copying.source());
			copying.enter(Phase.STOPPED);
			goOn(call, copying, now);
			return;
		}
		if (copying.isSourceClosed()) {
			call.endCopy();
			this.resumption.lost(call, "the generation stopped and its copy can't be used");
			return;
		}
		copying.enter(Phase.AHEAD);
		again(call, copying, now);
	}

	private void goOn(DirectCall call, Copying copying, long now) {
		if (!isUnderWay(call, copying)) {
			return;
		}
		ListedTarget destination = copying.destination();
		release(call, copying);
		call.endCopy();
		record(call, copying, "goes on at " + destination.id() + " behind event " + call.lastEvent() + ", "
				+ (now - copying.noticedAt()) + " ms after the notice");
		this.resumption.resume(call, destination, new ResumePoint(copying.source().address(), copying.handle(),
				call.lastEventText()), now);
	}

	// Memory was promised to the copy at its destination; the attempt promises it anew.
	private void release(DirectCall call, Copying copying) {
		if (copying.destination() != null && !copying.destination().id().equals(copying.source().id())) {
			this.beliefs.of(copying.destination()).ended(call.request().work().map(EngineWork::meanTokens).orElse(0L));
		}
	}

	private boolean isUnderWay(DirectCall call, Copying copying) {
		return call.copying().orElse(null) == copying;
	}

	private void record(DirectCall call, Copying copying, String cause) {
		this.audit.record(new AuditEvent(AuditKind.MOVED, call.request().id(), call.request().account(),
				copying.source().id(), cause));
	}

	/**
	 * How a call goes on after a move.
	 */
	interface Resumption {

		/**
		 * Send the request to where its copy is.
		 */
		void resume(DirectCall call, ListedTarget destination, ResumePoint from, long now);

		/**
		 * Take that the run stopped and no copy of it can be used.
		 */
		void lost(DirectCall call, String cause);

		/**
		 * Return what the call's engines can do.
		 */
		Optional<EngineSpec> engine(DirectCall call);

	}

}
