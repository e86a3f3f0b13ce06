package dev.laneworks.core.call;

import java.util.Optional;

import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.routing.TargetBoard;
import dev.laneworks.core.routing.TargetSelector;
import dev.laneworks.core.stream.StreamPosition;

/**
 * Takes an entry's calls from their first attempt to their final answer.
 * <p>
 * A call reads from one generation. An attempt that was not heard of is barred before
 * another is made; when that can't be done it may have run, and only a repeatable request
 * whose caller has seen nothing goes on. Once output was delivered the call stays with
 * its generation, which it finds again by name after the link or the sidecar was lost.
 * Messages are matched by call, epoch and target; all others are dropped and counted. All
 * inputs carry the time in milliseconds, which must not fall. Not thread-safe.
 *
 * @since 0.1
 */
public final class CallCoordinator {

	private final CallParts parts;

	private final FixedTargets fixedTargets = new FixedTargets();

	private final CallEnd end;

	private final Attempts attempts;

	private final Retries retries;

	private final SidecarAnswers answers;

	/**
	 * Create a coordinator without calls.
	 * @param settings bounds and times
	 * @param selector chooses targets
	 * @param board what the entry believes of each target
	 * @param budget bounds retries
	 * @param backoff spreads retries over time
	 * @param outputs what the coordinator asks of the world
	 * @param audit takes audit events
	 */
	public CallCoordinator(CallSettings settings, TargetSelector selector, TargetBoard board, RetryBudget budget,
			Backoff backoff, CallOutputs outputs, AuditSink audit) {
		this.parts = new CallParts(settings, outputs, audit, new CallCounters(), new Sidecars(),
				new TargetRecords(board, audit), new OpenCalls());
		this.end = new CallEnd(this.parts, backoff);
		this.attempts = new Attempts(this.parts, selector, this.fixedTargets, this.end);
		this.retries = new Retries(this.parts, budget, backoff, this.fixedTargets, this.attempts, this.end);
		this.answers = new SidecarAnswers(this.parts, budget, this.attempts, this.retries, this.end);
	}

	/**
	 * Use a configuration from now on.
	 * @param newConfiguration the configuration in force
	 */
	public void use(FleetConfiguration newConfiguration) {
		this.fixedTargets.use(newConfiguration);
		this.parts.sidecars().forgetAllBut(newConfiguration);
	}

	/**
	 * Open a call.
	 * @param number the call's number, never used before
	 * @param request the request
	 * @param now the time in milliseconds
	 */
	public void open(long number, CallRequest request, long now) {
		this.attempts.route(add(number, request, now), now);
	}

	/**
	 * Open a call that goes on with a generation.
	 * @param number the call's number, never used before
	 * @param request the request as far as it is known; its work is not sent
	 * @param position where to go on
	 * @param now the time in milliseconds
	 */
	public void resume(long number, CallRequest request, StreamPosition position, long now) {
		Call call = add(number, request, now);
		call.routeTo(position.target(), "holds the generation");
		call.returnTo(position.generation(), position.incarnation(), position.offset());
		this.attempts.reattach(call, now);
	}

	/**
	 * Handle the caller's having taken output.
	 * @param number the call's number
	 * @param offset the first offset that it has not taken
	 */
	public void onCallerRead(long number, long offset) {
		this.parts.calls().find(number).ifPresent((c) -> {
			c.read(offset);
			this.answers.grantCredit(c);
		});
	}

	/**
	 * Handle the caller's leaving.
	 * @param number the call's number
	 */
	public void onCallerLeft(long number) {
		this.parts.calls().find(number).ifPresent((c) -> {
			release(c);
			this.end.close(c);
		});
	}

	/**
	 * Handle a link's coming up.
	 * @param target the target's name
	 * @param incarnation the incarnation of its sidecar
	 * @param now the time in milliseconds
	 */
	public void onLinkUp(String target, long incarnation, long now) {
		boolean isOther = this.parts.sidecars().linkUp(target, incarnation);
		this.parts.targets().state(target).recordLinkUp(isOther);
		for (Call call : this.parts.calls().at(target)) {
			switch (call.phase()) {
				case CONNECTING -> this.attempts.submit(call, now);
				case BARRING -> this.attempts.sendBar(call);
				case REATTACHING -> this.attempts.sendAttach(call);
				default -> {
				}
			}
		}
	}

	/**
	 * Handle a link's loss.
	 * @param target the target's name
	 * @param now the time in milliseconds
	 */
	public void onLinkDown(String target, long now) {
		if (!this.parts.sidecars().linkDown(target)) {
			connectFailed(target, now);
			return;
		}
		this.parts.targets().state(target).recordLinkDown();
		this.parts.targets().failed(target, "link lost", now);
		for (Call call : this.parts.calls().at(target)) {
			switch (call.phase()) {
				case SUBMITTED -> this.attempts.bar(call, now);
				case READING -> this.attempts.reattach(call, now);
				default -> {
				}
			}
		}
	}

	/**
	 * Handle a message from a sidecar.
	 * @param target the target's name
	 * @param message the message
	 * @param now the time in milliseconds
	 */
	public void onMessage(String target, SidecarMessage message, long now) {
		if (message instanceof SidecarMessage.Load load) {
			this.parts.targets().state(target).recordReport(load.report(), now);
			return;
		}
		if (message instanceof SidecarMessage.Farewell) {
			onFarewell(target, now);
			return;
		}
		if (!(message instanceof SidecarMessage.OfStream ofStream)) {
			this.parts.counters().strays().increment();
			return;
		}
		StreamId stream = ofStream.stream();
		Optional<Call> call = this.parts.calls()
			.find(stream.call())
			.filter((c) -> c.stream().equals(stream) && c.target().equals(target));
		if (call.isEmpty()) {
			this.parts.counters().strays().increment();
			return;
		}
		this.answers.take(call.get(), ofStream, now);
	}

	/**
	 * Do what is due.
	 * @param now the time in milliseconds
	 */
	public void tick(long now) {
		for (Call call : this.parts.calls().copyOfAll()) {
			if (now >= call.timer()) {
				onTimer(call, now);
			}
		}
	}

	/**
	 * Return how many calls are open.
	 * @return the count
	 */
	public int openCalls() {
		return this.parts.calls().size();
	}

	/**
	 * Return the incarnation of a target's sidecar.
	 * @param target the target's name
	 * @return the incarnation, or empty if its link is down
	 */
	public Optional<Long> incarnation(String target) {
		return this.parts.sidecars().incarnation(target);
	}

	/**
	 * Return the counters.
	 * @return the counters, readable from any thread
	 */
	public CallCounters counters() {
		return this.parts.counters();
	}

	private Call add(long number, CallRequest request, long now) {
		Call call = new Call(number, request, now);
		this.parts.calls().add(call);
		this.parts.counters().opened().increment();
		return call;
	}

	// Tells the sidecar that the caller left, if it knows of the call.
	private void release(Call call) {
		boolean reachable = this.parts.sidecars().isUp(call.target());
		if (reachable && call.phase() != CallPhase.CONNECTING && call.phase() != CallPhase.BACKING_OFF) {
			boolean mayReturn = call.request().mayReturn() && call.hasOutputBeenSeen();
			this.parts.outputs().send(call.target(), new EntryMessage.Release(call.stream(), mayReturn));
		}
	}

	private void connectFailed(String target, long now) {
		for (Call call : this.parts.calls().at(target)) {
			switch (call.phase()) {
				case CONNECTING -> {
					this.parts.targets().failed(target, "no link", now);
					this.retries.attemptFailed(call, CallRefusals.notReached(), now);
				}
				case BARRING, REATTACHING -> this.parts.outputs().connect(target);
				default -> {
				}
			}
		}
	}

	private void onFarewell(String target, long now) {
		this.parts.targets().state(target).recordLeaving();
		for (Call call : this.parts.calls().at(target)) {
			if (call.phase() == CallPhase.SUBMITTED || call.phase() == CallPhase.BARRING) {
				this.retries.attemptFailed(call, CallRefusals.unansweredAtEnd(call), now);
			}
		}
	}

	private void onTimer(Call call, long now) {
		switch (call.phase()) {
			case BACKING_OFF -> this.attempts.route(call, now);
			case CONNECTING -> {
				this.parts.targets().failed(call.target(), "no link in time", now);
				this.retries.attemptFailed(call, CallRefusals.notReached(), now);
			}
			case SUBMITTED -> {
				this.parts.targets().failed(call.target(), "no answer in time", now);
				this.attempts.bar(call, now);
			}
			case BARRING -> this.retries.attemptFailed(call, CallRefusals.barUnanswered(), now);
			case REATTACHING -> this.retries.attemptFailed(call, CallRefusals.lostWhileReading(call), now);
			case READING -> call.enter(CallPhase.READING, Call.NO_TIMER);
		}
	}

}
