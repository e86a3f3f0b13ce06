package dev.laneworks.core.call;

import java.util.Optional;

import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.routing.TargetSelector;
import dev.laneworks.core.routing.TargetStates;
import dev.laneworks.core.stream.StreamPosition;

/**
 * State machine that drives an entry's calls from the first attempt to the final answer.
 * <p>
 * A call reads the output of one generation. An unanswered attempt is revoked before the
 * next one; if it cannot be revoked it may have run, and only a repeatable request
 * without delivered output is retried. Once output was delivered, the call stays with its
 * generation and reattaches to it by name after the link or the sidecar was lost.
 * Messages are matched by call, epoch and target; all others are dropped and counted. The
 * time passed to the methods must not decrease. Not thread-safe.
 *
 * @since 0.1
 */
public final class CallCoordinator {

	private final CallContext context;

	private final FixedTargets fixedTargets = new FixedTargets();

	private final CallTerminator terminator;

	private final AttemptDispatcher dispatcher;

	private final RetryHandler retryHandler;

	private final SidecarMessageHandler messageHandler;

	/**
	 * Create a coordinator without calls.
	 * @param settings the limits and timeouts
	 * @param selector selects the target of an attempt
	 * @param states the recorded state of each target
	 * @param budget limits the number of retries
	 * @param backoff calculates the delay between retries
	 * @param outputs connects to sidecars and answers callers
	 * @param audit records decisions and their causes
	 */
	public CallCoordinator(CallSettings settings, TargetSelector selector, TargetStates states, RetryBudget budget,
			Backoff backoff, CallOutputs outputs, AuditSink audit) {
		this.context = new CallContext(settings, outputs, audit, new CallCounters(), new SidecarIncarnations(),
				new TargetOutcomes(states, audit), new OpenCalls());
		this.terminator = new CallTerminator(this.context, backoff);
		this.dispatcher = new AttemptDispatcher(this.context, selector, this.fixedTargets, this.terminator);
		this.retryHandler = new RetryHandler(this.context, budget, backoff, this.fixedTargets, this.dispatcher,
				this.terminator);
		this.messageHandler = new SidecarMessageHandler(this.context, budget, this.dispatcher, this.retryHandler,
				this.terminator);
	}

	/**
	 * Apply a new configuration to calls from now on.
	 * @param newConfiguration the configuration in force
	 */
	public void applyConfiguration(FleetConfiguration newConfiguration) {
		this.fixedTargets.use(newConfiguration);
		this.context.sidecars().retainTargets(newConfiguration);
	}

	/**
	 * Open a call and start its first attempt.
	 * @param number the call's number, which must not have been used before
	 * @param request the request and the intent that applies to it
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void open(long number, CallRequest request, long now) {
		this.dispatcher.route(add(number, request, now), now);
	}

	/**
	 * Open a call that resumes reading an existing generation.
	 * @param number the call's number, which must not have been used before
	 * @param request the known part of the request; its work is not sent
	 * @param position the position in the output from which to resume
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void resume(long number, CallRequest request, StreamPosition position, long now) {
		Call call = add(number, request, now);
		call.setTarget(position.target(), "holds the generation");
		call.resumeGeneration(position.generation(), position.incarnation(), position.offset());
		this.dispatcher.reattach(call, now);
	}

	/**
	 * Record that the caller has read output.
	 * @param number the call's number; ignored if no such call is open
	 * @param offset the first offset that the caller has not read
	 */
	public void onCallerConsumed(long number, long offset) {
		this.context.calls().find(number).ifPresent((c) -> {
			c.recordRead(offset);
			this.messageHandler.grantCredit(c);
		});
	}

	/**
	 * Handle a disconnected caller.
	 * @param number the call's number; ignored if no such call is open
	 */
	public void onCallerDisconnected(long number) {
		this.context.calls().find(number).ifPresent((c) -> {
			release(c);
			this.terminator.close(c);
		});
	}

	/**
	 * Handle an established link to a sidecar.
	 * @param target the name of the sidecar's target
	 * @param incarnation the incarnation of the sidecar
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void onLinkUp(String target, long incarnation, long now) {
		boolean isNewIncarnation = this.context.sidecars().recordUp(target, incarnation);
		this.context.targets().state(target).recordLinkUp(isNewIncarnation);
		for (Call call : this.context.calls().at(target)) {
			switch (call.phase()) {
				case CONNECTING -> this.dispatcher.submit(call, now);
				case REVOKING -> this.dispatcher.sendRevocation(call);
				case REATTACHING -> this.dispatcher.sendAttach(call);
				default -> {
				}
			}
		}
	}

	/**
	 * Handle a lost link or a failed connection attempt.
	 * @param target the name of the sidecar's target
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void onLinkDown(String target, long now) {
		if (!this.context.sidecars().recordDown(target)) {
			handleConnectFailure(target, now);
			return;
		}
		this.context.targets().state(target).recordLinkDown();
		this.context.targets().reportFailure(target, "link lost", now);
		for (Call call : this.context.calls().at(target)) {
			switch (call.phase()) {
				case SUBMITTED -> this.dispatcher.revoke(call, now);
				case READING -> this.dispatcher.reattach(call, now);
				default -> {
				}
			}
		}
	}

	/**
	 * Handle a message from a sidecar.
	 * @param target the name of the sidecar's target
	 * @param message the message; dropped if it belongs to no current stream
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void onMessage(String target, SidecarMessage message, long now) {
		if (message instanceof SidecarMessage.Load load) {
			this.context.targets().state(target).recordReport(load.report(), now);
			return;
		}
		if (message instanceof SidecarMessage.Shutdown) {
			handleFarewell(target, now);
			return;
		}
		if (!(message instanceof SidecarMessage.StreamMessage ofStream)) {
			this.context.counters().droppedMessages().increment();
			return;
		}
		StreamId stream = ofStream.stream();
		Optional<Call> call = this.context.calls()
			.find(stream.call())
			.filter((c) -> c.stream().equals(stream) && c.target().equals(target));
		if (call.isEmpty()) {
			this.context.counters().droppedMessages().increment();
			return;
		}
		this.messageHandler.handle(call.get(), ofStream, now);
	}

	/**
	 * Run the timers that have expired.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void tick(long now) {
		for (Call call : this.context.calls().copyOfAll()) {
			if (now >= call.timer()) {
				onTimer(call, now);
			}
		}
	}

	/**
	 * Return the number of open calls.
	 * @return the number, at least 0
	 */
	public int openCalls() {
		return this.context.calls().size();
	}

	/**
	 * Return the incarnation of a target's sidecar.
	 * @param target the name of the sidecar's target
	 * @return the incarnation, or empty if the link is down
	 */
	public Optional<Long> incarnation(String target) {
		return this.context.sidecars().incarnation(target);
	}

	/**
	 * Return the counters of this coordinator.
	 * @return the counters, which may be read by any thread
	 */
	public CallCounters counters() {
		return this.context.counters();
	}

	private Call add(long number, CallRequest request, long now) {
		Call call = new Call(number, request, now);
		this.context.calls().add(call);
		this.context.counters().opened().increment();
		return call;
	}

	// Notifies the sidecar that the caller disconnected, if it may have the request.
	private void release(Call call) {
		boolean reachable = this.context.sidecars().isUp(call.target());
		if (reachable && call.phase() != CallPhase.CONNECTING && call.phase() != CallPhase.BACKING_OFF) {
			boolean mayResume = call.request().mayResume() && call.hasOutputBeenSeen();
			this.context.outputs().send(call.target(), new EntryMessage.Release(call.stream(), mayResume));
		}
	}

	private void handleConnectFailure(String target, long now) {
		for (Call call : this.context.calls().at(target)) {
			switch (call.phase()) {
				case CONNECTING -> {
					this.context.targets().reportFailure(target, "connection failed", now);
					this.retryHandler.handleFailedAttempt(call, CallRefusals.unreachable(), now);
				}
				case REVOKING, REATTACHING -> this.context.outputs().connect(target);
				default -> {
				}
			}
		}
	}

	private void handleFarewell(String target, long now) {
		this.context.targets().state(target).recordDraining();
		for (Call call : this.context.calls().at(target)) {
			if (call.phase() == CallPhase.SUBMITTED || call.phase() == CallPhase.REVOKING) {
				this.retryHandler.handleFailedAttempt(call, CallRefusals.unansweredAtShutdown(call), now);
			}
		}
	}

	private void onTimer(Call call, long now) {
		switch (call.phase()) {
			case BACKING_OFF -> this.dispatcher.route(call, now);
			case CONNECTING -> {
				this.context.targets().reportFailure(call.target(), "connect timeout expired", now);
				this.retryHandler.handleFailedAttempt(call, CallRefusals.unreachable(), now);
			}
			case SUBMITTED -> {
				this.context.targets().reportFailure(call.target(), "no answer from the sidecar", now);
				this.dispatcher.revoke(call, now);
			}
			case REVOKING -> this.retryHandler.handleFailedAttempt(call, CallRefusals.revocationUnanswered(), now);
			case REATTACHING -> this.retryHandler.handleFailedAttempt(call, CallRefusals.lostWhileReading(call), now);
			case READING -> call.enter(CallPhase.READING, Call.NO_TIMER);
		}
	}

}
