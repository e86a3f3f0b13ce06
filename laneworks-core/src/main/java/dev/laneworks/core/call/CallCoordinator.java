package dev.laneworks.core.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.BarOutcome;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.message.Work;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.routing.Route;
import dev.laneworks.core.routing.RouteRequest;
import dev.laneworks.core.routing.TargetBoard;
import dev.laneworks.core.routing.TargetSelector;
import dev.laneworks.core.routing.TargetState;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

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

	private static final Duration NO_TARGET_RETRY = Duration.ofSeconds(1);

	private static final int CREDITS_PER_WINDOW = 4;

	private final CallSettings settings;

	private final TargetSelector selector;

	private final TargetBoard board;

	private final RetryBudget budget;

	private final Backoff backoff;

	private final CallOutputs outputs;

	private final AuditSink audit;

	private final CallCounters counters = new CallCounters();

	private final Map<Long, Call> calls = new LinkedHashMap<>();

	/** The sidecars whose links are up. */
	private final Map<String, Long> incarnations = new HashMap<>();

	/** The sidecars heard last, whether or not their links are up. */
	private final Map<String, Long> lastIncarnations = new HashMap<>();

	private FleetConfiguration configuration;

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
		this.settings = settings;
		this.selector = selector;
		this.board = board;
		this.budget = budget;
		this.backoff = backoff;
		this.outputs = outputs;
		this.audit = audit;
	}

	/**
	 * Use a configuration from now on.
	 * @param newConfiguration the configuration in force
	 */
	public void use(FleetConfiguration newConfiguration) {
		this.configuration = newConfiguration;
		this.lastIncarnations.keySet().removeIf((t) -> newConfiguration.target(t).isEmpty());
	}

	/**
	 * Open a call.
	 * @param number the call's number, never used before
	 * @param request the request
	 * @param now the time in milliseconds
	 */
	public void open(long number, CallRequest request, long now) {
		Call call = new Call(number, request, now);
		if (this.calls.putIfAbsent(number, call) != null) {
			throw new IllegalArgumentException("call " + number + " is open already");
		}
		this.counters.opened().increment();
		route(call, now);
	}

	/**
	 * Open a call that goes on with a generation.
	 * @param number the call's number, never used before
	 * @param request the request as far as it is known; its work is not sent
	 * @param position where to go on
	 * @param now the time in milliseconds
	 */
	public void resume(long number, CallRequest request, StreamPosition position, long now) {
		Call call = new Call(number, request, now);
		if (this.calls.putIfAbsent(number, call) != null) {
			throw new IllegalArgumentException("call " + number + " is open already");
		}
		this.counters.opened().increment();
		call.routeTo(position.target(), "holds the generation");
		call.returnTo(position.generation(), position.incarnation(), position.offset());
		reattach(call, now);
	}

	/**
	 * Handle the caller's having taken output.
	 * @param number the call's number
	 * @param offset the first offset that it has not taken
	 */
	public void onCallerRead(long number, long offset) {
		Call call = this.calls.get(number);
		if (call == null) {
			return;
		}
		call.read(offset);
		grantCredit(call);
	}

	/**
	 * Handle the caller's leaving.
	 * @param number the call's number
	 */
	public void onCallerLeft(long number) {
		Call call = this.calls.get(number);
		if (call == null) {
			return;
		}
		boolean reachable = this.incarnations.containsKey(call.target());
		if (reachable && call.phase() != CallPhase.CONNECTING && call.phase() != CallPhase.BACKING_OFF) {
			boolean mayReturn = call.request().mayReturn() && call.hasOutputBeenSeen();
			this.outputs.send(call.target(), new EntryMessage.Release(call.stream(), mayReturn));
		}
		close(call);
	}

	/**
	 * Handle a link's coming up.
	 * @param target the target's name
	 * @param incarnation the incarnation of its sidecar
	 * @param now the time in milliseconds
	 */
	public void onLinkUp(String target, long incarnation, long now) {
		this.incarnations.put(target, incarnation);
		Long former = this.lastIncarnations.put(target, incarnation);
		this.board.state(target).recordLinkUp(former == null || former != incarnation);
		for (Call call : callsAt(target)) {
			switch (call.phase()) {
				case CONNECTING -> submit(call, now);
				case BARRING -> sendBar(call);
				case REATTACHING -> sendAttach(call);
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
		if (this.incarnations.remove(target) == null) {
			connectFailed(target, now);
			return;
		}
		this.board.state(target).recordLinkDown();
		recordFailure(target, "link lost", now);
		for (Call call : callsAt(target)) {
			switch (call.phase()) {
				case SUBMITTED -> bar(call, now);
				case READING -> reattach(call, now);
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
			this.board.state(target).recordReport(load.report(), now);
			return;
		}
		if (message instanceof SidecarMessage.Farewell) {
			onFarewell(target, now);
			return;
		}
		if (!(message instanceof SidecarMessage.OfStream ofStream)) {
			this.counters.strays().increment();
			return;
		}
		StreamId stream = ofStream.stream();
		Call call = this.calls.get(stream.call());
		if (call == null || !call.stream().equals(stream) || !call.target().equals(target)) {
			this.counters.strays().increment();
			return;
		}
		onStreamMessage(call, ofStream, now);
	}

	/**
	 * Do what is due.
	 * @param now the time in milliseconds
	 */
	public void tick(long now) {
		for (Call call : new ArrayList<>(this.calls.values())) {
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
		return this.calls.size();
	}

	/**
	 * Return the incarnation of a target's sidecar.
	 * @param target the target's name
	 * @return the incarnation, or empty if its link is down
	 */
	public Optional<Long> incarnation(String target) {
		return Optional.ofNullable(this.incarnations.get(target));
	}

	/**
	 * Return the counters.
	 * @return the counters, readable from any thread
	 */
	public CallCounters counters() {
		return this.counters;
	}

	private void route(Call call, long now) {
		Optional<Route> route = call.hasFixedTarget() ? home(call)
				: this.selector.select(new RouteRequest(call.work().model(), call.request().intent(),
						call.request().prefixHash(), call.excluded()), now);
		if (route.isEmpty()) {
			refuse(call,
					Refusal.notRun(RefusalReason.NO_TARGET, "no target can take the request now", NO_TARGET_RETRY));
			return;
		}
		String target = route.get().target().name();
		call.routeTo(target, route.get().reason());
		this.audit.record(new AuditEvent(AuditKind.ROUTED, call.work().requestId(), call.work().account(), target,
				route.get().reason()));
		if (this.incarnations.containsKey(target)) {
			submit(call, now);
			return;
		}
		call.enter(CallPhase.CONNECTING, Math.min(now + this.settings.connectMillis(), call.firstOutputDeadline()));
		this.outputs.connect(target);
	}

	private Optional<Route> home(Call call) {
		if (this.configuration == null) {
			return Optional.empty();
		}
		Optional<String> ticketTarget = call.request().ticketTarget();
		Optional<String> name = ticketTarget.isPresent() ? ticketTarget
				: ViewHistory.home(this.configuration.targetsServing(call.work().model()), call.work().model(),
						call.work().generationName(0));
		String reason = ticketTarget.isPresent() ? "named by the ticket" : "home of the key";
		return name.flatMap(this.configuration::target).map((t) -> new Route(t, reason));
	}

	private void submit(Call call, long now) {
		long patience = call.firstOutputDeadline() - now;
		if (patience <= 0) {
			refuse(call, waitTooLong());
			return;
		}
		StreamId stream = call.startAttempt(this.incarnations.get(call.target()));
		Work work = call.work().withPatience(patience);
		call.setCreditLimit(this.settings.window());
		call.enter(CallPhase.SUBMITTED, now + this.settings.dispatchMillis());
		call.setCountedInFlight(true);
		this.board.state(call.target()).recordSent();
		this.outputs.send(call.target(), new EntryMessage.Submit(stream, work, call.creditLimit()));
	}

	private void onFarewell(String target, long now) {
		this.board.state(target).recordLeaving();
		for (Call call : callsAt(target)) {
			if (call.phase() == CallPhase.SUBMITTED || call.phase() == CallPhase.BARRING) {
				attemptFailed(call, unansweredAtEnd(call), now);
			}
		}
	}

	private static Refusal unansweredAtEnd(Call call) {
		if (call.wasHeardWhileBarring()) {
			return Refusal.mayHaveRun(RefusalReason.LEAVING, "the sidecar ended after it took the request on");
		}
		return Refusal.notRun(RefusalReason.LEAVING, "the sidecar ended without reading the request", NO_TARGET_RETRY);
	}

	private void onStreamMessage(Call call, SidecarMessage.OfStream message, long now) {
		if (call.phase() == CallPhase.BARRING) {
			call.heardWhileBarring();
		}
		if (message instanceof SidecarMessage.Accepted) {
			onAccepted(call, now);
		}
		else if (message instanceof SidecarMessage.Chunk chunk) {
			onChunk(call, chunk, now);
		}
		else if (message instanceof SidecarMessage.End end) {
			onEnd(call, end, now);
		}
		else if (message instanceof SidecarMessage.Refused refused) {
			onRefused(call, refused.refusal(), now);
		}
		else if (message instanceof SidecarMessage.BarResult result) {
			onBarResult(call, result.outcome(), now);
		}
	}

	private void onAccepted(Call call, long now) {
		if (call.phase() != CallPhase.SUBMITTED && call.phase() != CallPhase.REATTACHING) {
			this.counters.strays().increment();
			return;
		}
		recordSuccess(call.target());
		call.enter(CallPhase.READING, Call.NO_TIMER);
		if (call.announce()) {
			this.outputs.accepted(call.number(), position(call), call.route());
		}
		// The caller may have read on while no credit could be sent.
		grantCredit(call);
	}

	private void grantCredit(Call call) {
		long limit = call.readOffset() + this.settings.window();
		boolean worthSending = limit - call.creditLimit() >= Math.max(1, this.settings.window() / CREDITS_PER_WINDOW);
		if (call.phase() == CallPhase.READING && worthSending) {
			call.setCreditLimit(limit);
			this.outputs.send(call.target(), new EntryMessage.Credit(call.stream(), limit));
		}
	}

	private void onChunk(Call call, SidecarMessage.Chunk chunk, long now) {
		if (call.phase() != CallPhase.READING || chunk.offset() < call.nextOffset()) {
			this.counters.strays().increment();
			return;
		}
		if (chunk.offset() > call.nextOffset()) {
			this.counters.strays().increment();
			reattach(call, now);
			return;
		}
		call.advance();
		this.counters.delivered().increment();
		this.outputs.deliver(call.number(), chunk.offset(), chunk.data());
	}

	private void onEnd(Call call, SidecarMessage.End end, long now) {
		if (call.phase() != CallPhase.READING) {
			this.counters.strays().increment();
			return;
		}
		if (end.total() != call.nextOffset()) {
			this.counters.strays().increment();
			reattach(call, now);
			return;
		}
		this.budget.recordSuccess();
		this.counters.finished().increment();
		close(call);
		this.outputs.finish(call.number(), end.total(), end.reason());
	}

	private void onRefused(Call call, Refusal refusal, long now) {
		if (call.phase() == CallPhase.BARRING) {
			// The answer to the request crossed the wish to bar it; it says all that the
			// bar would.
			attemptFailed(call, refusal, now);
			return;
		}
		if (refusal.reason() == RefusalReason.LEAVING) {
			this.board.state(call.target()).recordLeaving();
		}
		if (refusal.reason() == RefusalReason.TARGET_LOST) {
			recordFailure(call.target(), refusal.detail(), now);
		}
		else {
			recordSuccess(call.target());
		}
		attemptFailed(call, refusal, now);
	}

	private void onBarResult(Call call, BarOutcome outcome, long now) {
		if (call.phase() != CallPhase.BARRING) {
			this.counters.strays().increment();
			return;
		}
		switch (outcome) {
			case BARRED -> attemptFailed(call, Refusal.notRun(RefusalReason.WITHDRAWN,
					"the sidecar did not answer in time and the attempt was barred", NO_TARGET_RETRY), now);
			case HAS_RUN -> reattach(call, now);
			case UNKNOWN -> attemptFailed(call, Refusal.mayHaveRun(RefusalReason.LINK_LOST,
					"the sidecar was replaced and can't tell whether the request ran"), now);
		}
	}

	private void onTimer(Call call, long now) {
		switch (call.phase()) {
			case BACKING_OFF -> route(call, now);
			case CONNECTING -> {
				recordFailure(call.target(), "no link in time", now);
				attemptFailed(call, notReached(), now);
			}
			case SUBMITTED -> {
				recordFailure(call.target(), "no answer in time", now);
				bar(call, now);
			}
			case BARRING -> attemptFailed(call, Refusal.mayHaveRun(RefusalReason.LINK_LOST,
					"the sidecar was lost before it said whether the request runs"), now);
			case REATTACHING -> attemptFailed(call, lostWhileReading(call), now);
			case READING -> call.enter(CallPhase.READING, Call.NO_TIMER);
		}
	}

	private void bar(Call call, long now) {
		call.enter(CallPhase.BARRING, now + this.settings.barMillis());
		sendBar(call);
	}

	private void sendBar(Call call) {
		if (!this.incarnations.containsKey(call.target())) {
			this.outputs.connect(call.target());
			return;
		}
		this.outputs.send(call.target(),
				new EntryMessage.Bar(call.stream(), call.attemptName(), call.generation(), call.incarnation()));
	}

	private void reattach(Call call, long now) {
		this.counters.reattached().increment();
		call.enter(CallPhase.REATTACHING, now + this.settings.reattachMillis());
		sendAttach(call);
	}

	private void sendAttach(Call call) {
		if (!this.incarnations.containsKey(call.target())) {
			this.outputs.connect(call.target());
			return;
		}
		call.setCreditLimit(call.readOffset() + this.settings.window());
		this.outputs.send(call.target(), new EntryMessage.Attach(call.nextStream(), call.generation(),
				call.incarnation(), call.nextOffset(), call.creditLimit()));
	}

	private void connectFailed(String target, long now) {
		for (Call call : callsAt(target)) {
			switch (call.phase()) {
				case CONNECTING -> {
					recordFailure(target, "no link", now);
					attemptFailed(call, notReached(), now);
				}
				case BARRING, REATTACHING -> this.outputs.connect(target);
				default -> {
				}
			}
		}
	}

	private void attemptFailed(Call call, Refusal refusal, long now) {
		settle(call);
		Verdict verdict = call.worsen(refusal.verdict());
		boolean allowed = refusal.verdict().allowsAnotherAttempt(call.work().repeatable(), call.hasOutputBeenSeen())
				&& isWorthRetrying(call, refusal);
		if (!allowed || call.attempts() >= this.settings.maxAttempts() || now >= call.firstOutputDeadline()) {
			refuse(call, refusal);
			return;
		}
		boolean free = refusal.reason() == RefusalReason.LEAVING;
		if (!free && !this.budget.tryTake(now)) {
			refuse(call, refusal);
			return;
		}
		call.excluded().add(call.target());
		this.counters.retried().increment();
		this.audit.record(new AuditEvent(AuditKind.RETRIED, call.work().requestId(), call.work().account(),
				call.target(), verdict.label() + ": " + refusal.detail()));
		if (free || call.attempts() < 2) {
			route(call, now);
			return;
		}
		call.enter(CallPhase.BACKING_OFF, now + this.backoff.delayMillis(call.attempts() - 1));
	}

	private boolean isWorthRetrying(Call call, Refusal refusal) {
		if (refusal.reason() == RefusalReason.BAD_REQUEST || refusal.reason() == RefusalReason.SUPERSEDED) {
			return false;
		}
		if (!call.hasFixedTarget()) {
			return true;
		}
		boolean homeMoved = home(call).filter((r) -> !r.target().name().equals(call.target())).isPresent();
		return refusal.verdict() == Verdict.NOT_RUN && homeMoved;
	}

	private void refuse(Call call, Refusal refusal) {
		Verdict verdict = call.worsen(refusal.verdict());
		this.counters.refused().increment();
		this.audit.record(new AuditEvent(AuditKind.REFUSED, call.work().requestId(), call.work().account(),
				call.target(), verdict.label() + ", " + refusal.reason().label() + ": " + refusal.detail()));
		close(call);
		this.outputs.refuse(call.number(),
				new Refusal(verdict, refusal.reason(), refusal.detail(), refusal.retryAfter().map(this::spread)));
	}

	// Callers that were refused together do not come back together, and none comes back
	// too early.
	private Duration spread(Duration retryAfter) {
		return retryAfter.plusMillis(this.backoff.spread(retryAfter.toMillis()) / 2);
	}

	private void close(Call call) {
		settle(call);
		this.calls.remove(call.number());
	}

	private void settle(Call call) {
		if (call.isCountedInFlight()) {
			call.setCountedInFlight(false);
			this.board.state(call.target()).recordDone();
		}
	}

	private void recordFailure(String target, String cause, long now) {
		if (this.board.state(target).health().recordFailure(now)) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target, target, "set aside: " + cause));
		}
	}

	private void recordSuccess(String target) {
		TargetState state = this.board.state(target);
		if (state.health().recordSuccess()) {
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target, target, "taken back"));
		}
	}

	private List<Call> callsAt(String target) {
		return this.calls.values().stream().filter((c) -> c.target().equals(target)).toList();
	}

	private StreamPosition position(Call call) {
		return new StreamPosition(call.target(), call.incarnation(), call.generation(), call.work().account(),
				call.nextOffset());
	}

	private static Refusal notReached() {
		return Refusal.notRun(RefusalReason.LINK_LOST, "the sidecar could not be reached", NO_TARGET_RETRY);
	}

	private static Refusal waitTooLong() {
		return Refusal.notRun(RefusalReason.WAIT_TOO_LONG, "no place came free within the caller's patience",
				NO_TARGET_RETRY);
	}

	private Refusal lostWhileReading(Call call) {
		String detail = "the sidecar was lost; the generation may go on and can be resumed by its position";
		return new Refusal(call.hasOutputBeenSeen() ? Verdict.RAN : Verdict.MAY_HAVE_RUN, RefusalReason.LINK_LOST,
				detail, Optional.of(NO_TARGET_RETRY));
	}

}
