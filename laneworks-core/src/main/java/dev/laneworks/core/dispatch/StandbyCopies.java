package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.time.Timers;

/**
 * Maintains standby copies of running generations that have no live copy, while links and
 * memory are free.
 * <p>
 * A copy is made on order and refreshed periodically, one generation at a time. When its
 * engine drains, only the newest tokens remain to be copied; when its engine fails, the
 * generation resumes at the copy.
 */
final class StandbyCopies {

	/** Minimum time a generation runs before it is copied. */
	private static final long MIN_RUNNING_MILLIS = 700;

	/**
	 * Refresh interval of a copy. Engines free a copy that is not used or refreshed for
	 * five seconds.
	 */
	private static final long REFRESH_INTERVAL_MILLIS = 2_500;

	/** Delay before the search for an engine with memory for a copy is repeated. */
	private static final long NO_DESTINATION_DELAY_MILLIS = 400;

	/** Delay while another copy is in progress; a refresh takes about 20 ms. */
	private static final long BUSY_DELAY_MILLIS = 60;

	/**
	 * Time after a reclaim notice during which links in the data centre are reserved for
	 * moves.
	 */
	private static final long MOVES_ONLY_MILLIS = 1_600;

	/**
	 * Maximum fleet memory utilization for new copies. Prevents copies from causing
	 * engines to preempt generations, since some engine is away at any time.
	 */
	private static final double MAX_FLEET_UTILIZATION_NEW = 0.5;

	/** Fleet memory utilization above which existing copies are released. */
	private static final double MAX_FLEET_UTILIZATION_KEPT = 0.65;

	/** Maximum memory utilization of a destination engine including the copy. */
	private static final double MAX_ENGINE_UTILIZATION = 0.82;

	private final TargetDirectory directory;

	private final Eligibility eligibility;

	private final TargetEstimates estimates;

	private final TargetChooser chooser;

	private final CopyCoordination coordination;

	private final Timers timers;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	private final boolean enabled;

	private Optional<DirectCall> activeCall = Optional.empty();

	/** Source and destination of the copy in progress. */
	private List<ListedTarget> activeEngines = List.of();

	/** End of the time during which links are reserved for moves, by data centre. */
	private final Map<String, Long> movesOnlyUntil = new HashMap<>();

	StandbyCopies(TargetDirectory directory, Eligibility eligibility, TargetEstimates estimates, TargetChooser chooser,
			CopyCoordination coordination, Timers timers, DispatchOutputs outputs, AuditSink audit, boolean enabled) {
		this.directory = directory;
		this.eligibility = eligibility;
		this.estimates = estimates;
		this.chooser = chooser;
		this.coordination = coordination;
		this.timers = timers;
		this.outputs = outputs;
		this.audit = audit;
		this.enabled = enabled;
	}

	/**
	 * Record that an engine is draining, and reserve the links in its data centre for
	 * moves for a while.
	 * @param target the draining engine
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleDraining(ListedTarget target, long now) {
		this.movesOnlyUntil.put(target.dataCentre(), now + MOVES_ONLY_MILLIS);
	}

	/**
	 * Schedule standby copies for the generation of an attempt that sent its first event.
	 * @param call the call of the generation
	 * @param attempt the attempt that runs the generation
	 * @param engine the capabilities of the service's engines, empty if unknown
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void schedule(DirectCall call, Attempt attempt, Optional<EngineSpec> engine, long now) {
		boolean isLong = call.request().size().filter((w) -> !w.isShort()).isPresent();
		if (this.enabled && isLong && engine.filter(EngineSpec::supportsMoves).isPresent()) {
			scheduleRefresh(call, attempt, engine.get(), now + MIN_RUNNING_MILLIS);
		}
	}

	/**
	 * Handle the result of a copy that no move ordered.
	 * @param call the call of the generation
	 * @param order the copy order
	 * @param result the outcome and the handle of the copy
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleCopyResult(DirectCall call, CopyOrder order, CopyResult result, long now) {
		endActiveCopy(call);
		StandbyCopy standby = call.standby().orElse(null);
		if (standby == null || !standby.destination().isSameIncarnation(order.destination())) {
			if (!result.handle().isEmpty() && !call.usesCopy(result.handle())) {
				this.outputs.releaseCopy(order.source(), result.handle());
			}
			return;
		}
		if (result.outcome() == CopyResult.Outcome.COPIED) {
			standby.copied(result.handle(), call.attempt().map(Attempt::reservedTokens).orElse(0L));
			return;
		}
		record(call, order.destination(), "standby copy failed: " + result.outcome());
		if (result.outcome() != CopyResult.Outcome.NOT_SENT && result.outcome() != CopyResult.Outcome.NO_ANSWER) {
			this.estimates.of(order.destination()).markFull(now + StreamMover.REJECTED_COPY_BACKOFF_MILLIS);
		}
		release(call);
	}

	/**
	 * Release the standby copy of a call, if there is one.
	 * @param call the call of the generation
	 */
	void release(DirectCall call) {
		call.standby().ifPresent((s) -> {
			detach(call);
			if (!s.handle().isEmpty()) {
				this.outputs.releaseCopy(s.source(), s.handle());
			}
		});
	}

	/**
	 * Remove the standby copy of a call from maintenance, so that the caller can use or
	 * release it.
	 * @param call the call of the generation
	 * @return the copy, or empty if there is none
	 */
	Optional<StandbyCopy> detach(DirectCall call) {
		Optional<StandbyCopy> standby = call.standby();
		standby.ifPresent((s) -> {
			this.estimates.update(s.destination(), (b) -> b.addReservedTokens(-s.reservedTokens()));
			call.standby(Optional.empty());
		});
		endActiveCopy(call);
		return standby;
	}

	private void endActiveCopy(DirectCall call) {
		if (this.activeCall.filter((c) -> c == call).isPresent()) {
			this.activeCall = Optional.empty();
			this.activeEngines.forEach((e) -> this.estimates.update(e, (b) -> b.addCopies(-1)));
			this.activeEngines = List.of();
		}
	}

	private void scheduleRefresh(DirectCall call, Attempt attempt, EngineSpec engine, long due) {
		this.timers.schedule(due, (t) -> refresh(call, attempt, engine, t));
	}

	private void refresh(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		if (call.attempt().orElse(null) != attempt || !this.directory.isAvailable(attempt.target())) {
			return;
		}
		boolean hasLiveCopy = attempt.backup().filter((b) -> this.eligibility.canHoldCopies(b, now)).isPresent();
		if (hasLiveCopy) {
			scheduleRefresh(call, attempt, engine, now + REFRESH_INTERVAL_MILLIS);
			return;
		}
		releaseIfUnusable(call, engine, now);
		dropIfFleetFull(call, attempt, engine, now);
		if (this.activeCall.isPresent() || call.move().isPresent()) {
			scheduleRefresh(call, attempt, engine, now + BUSY_DELAY_MILLIS);
			return;
		}
		Optional<ListedTarget> destination = call.standby()
			.map(StandbyCopy::destination)
			.or(() -> chooseDestination(call, attempt, engine, now));
		if (destination.isEmpty()) {
			scheduleRefresh(call, attempt, engine, now + NO_DESTINATION_DELAY_MILLIS);
			return;
		}
		if (areLinksBusy(attempt.target(), destination.get(), now)) {
			scheduleRefresh(call, attempt, engine, now + BUSY_DELAY_MILLIS);
			return;
		}
		if (call.standby().isEmpty()) {
			startCopy(call, attempt, destination.get());
		}
		order(call, attempt.target(), destination.get());
		scheduleRefresh(call, attempt, engine, now + REFRESH_INTERVAL_MILLIS);
	}

	private void dropIfFleetFull(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		boolean isFleetFull = call.standby().isPresent()
				&& this.chooser.fleetUtilization(attempt.target().service(), engine, now) > MAX_FLEET_UTILIZATION_KEPT;
		if (isFleetFull) {
			record(call, call.standby().get().destination(),
					"standby copy released: the memory utilization of the fleet is too high");
			release(call);
		}
	}

	private boolean areLinksBusy(ListedTarget source, ListedTarget destination, long now) {
		return now < this.movesOnlyUntil.getOrDefault(source.dataCentre(), 0L)
				|| now < this.movesOnlyUntil.getOrDefault(destination.dataCentre(), 0L)
				|| !this.coordination.areLinksIdle(source, destination);
	}

	private void order(DirectCall call, ListedTarget source, ListedTarget destination) {
		this.activeCall = Optional.of(call);
		this.activeEngines = List.of(source, destination);
		this.activeEngines.forEach((e) -> this.estimates.update(e, (b) -> b.addCopies(1)));
		this.outputs.copy(call.number(), new CopyOrder(call.request().id(), source, destination, false));
	}

	private Optional<ListedTarget> chooseDestination(DirectCall call, Attempt attempt, EngineSpec engine, long now) {
		ListedTarget source = attempt.target();
		if (this.chooser.fleetUtilization(source.service(), engine, now) > MAX_FLEET_UTILIZATION_NEW) {
			return Optional.empty();
		}
		return this.chooser.chooseBackup(source, call.filterWithout(Set.of()), engine, attempt.reservedTokens(),
				MAX_ENGINE_UTILIZATION, now);
	}

	private void startCopy(DirectCall call, Attempt attempt, ListedTarget destination) {
		long tokens = attempt.reservedTokens();
		this.estimates.update(destination, (b) -> b.addReservedTokens(tokens));
		call.standby(Optional.of(new StandbyCopy(attempt.target(), destination, tokens)));
		record(call, destination, "standby copy started");
	}

	/**
	 * Release the standby copy of a call if its engine no longer accepts work or is short
	 * of memory.
	 * @param call the call of the generation
	 * @param engine the capabilities of the service's engines
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void releaseIfUnusable(DirectCall call, EngineSpec engine, long now) {
		boolean isUnusable = call.standby()
			.filter((s) -> !this.eligibility.canHoldCopies(s.destination(), now) || this.chooser
				.utilization(s.destination(), engine, now) > AttemptSender.MAX_UTILIZATION_WITH_COPIES)
			.isPresent();
		if (isUnusable) {
			record(call, call.standby().get().destination(),
					"standby copy released: its engine is leaving, evacuated, unreachable or short of memory");
			release(call);
		}
	}

	private void record(DirectCall call, ListedTarget target, String cause) {
		this.audit.record(call.event(AuditKind.MOVED, target.id(), cause));
	}

}
