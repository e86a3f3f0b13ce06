package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.OverloadedFleet.Execution;
import dev.laneworks.core.dispatch.OverloadedFleet.FleetEngine;
import dev.laneworks.core.time.Timers;

/**
 * Engines of an {@link OverloadedFleet} that are reclaimed with notice and replaced, and
 * the copies between them.
 */
final class ReclaimedEngines {

	private static final long INTERVAL_MILLIS = 3_300;

	private static final double RECLAIMED_SHARE = 0.17;

	private static final long REPLACED_AFTER_MILLIS = 4_000;

	/** Time on a link for each token: 18,432 bytes at 2,700 Mbit/s. */
	private static final double TOKEN_MILLIS = 18_432 * 8 / 2_700_000.0;

	private static final long COMMAND_MILLIS = 3;

	private final List<DispatchHarness> entries;

	private final Map<String, FleetEngine> engines;

	private final SplittableRandom random;

	private final Timers timers = new Timers();

	private final Map<String, ListedTarget> listed = new HashMap<>();

	/** Tokens of each copied generation that its destination has, by copy handle. */
	private final Map<String, Long> copied = new HashMap<>();

	private int started;

	ReclaimedEngines(List<DispatchHarness> entries, Map<String, FleetEngine> engines, int count,
			SplittableRandom random) {
		this.entries = entries;
		this.engines = engines;
		this.random = random;
		for (int i = 0; i < count; i++) {
			start();
		}
		this.timers.schedule(INTERVAL_MILLIS, (t) -> reclaim(count, t));
	}

	void run(long now) {
		for (DispatchHarness entry : this.entries) {
			List<CopyOrder> orders = List.copyOf(entry.copies);
			entry.copies.clear();
			orders.forEach((o) -> copy(entry, o, now));
			entry.released.forEach(this::release);
			entry.released.clear();
		}
		this.timers.run(now);
	}

	// The handle is that of a copy: call, then destination.
	private void release(String sourceAndHandle) {
		String handle = sourceAndHandle.substring(sourceAndHandle.indexOf('/') + 1);
		int dash = handle.indexOf('-');
		this.copied.remove(handle);
		Optional.ofNullable((StepwiseEngine) this.engines.get(handle.substring(dash + 1)))
			.ifPresent((e) -> e.held.remove(Long.parseLong(handle.substring(0, dash))));
	}

	private void start() {
		String id = "e" + this.started++;
		this.engines.put(id, new StepwiseEngine());
		this.entries.forEach((e) -> this.listed.put(id, e.join(DispatchHarness.ENGINES, id)));
	}

	private void reclaim(int count, long now) {
		this.timers.schedule(now + INTERVAL_MILLIS, (t) -> reclaim(count, t));
		List<String> serving = new ArrayList<>(this.listed.keySet().stream().sorted().toList());
		for (int i = 0; i < Math.round(RECLAIMED_SHARE * count) && !serving.isEmpty(); i++) {
			ListedTarget target = this.listed.remove(serving.remove(this.random.nextInt(serving.size())));
			this.entries.forEach((e) -> e.drain(target));
			long endsAt = now + 1_500 + this.random.nextInt(600);
			this.timers.schedule(endsAt, (t) -> end(target, t));
			this.timers.schedule(endsAt + REPLACED_AFTER_MILLIS, (t) -> start());
		}
	}

	private void end(ListedTarget target, long now) {
		for (Execution lost : ((StepwiseEngine) this.engines.remove(target.id())).removeAll()) {
			lost.entry().dispatcher.attemptBroken(lost.sent().call(), lost.sent().attempt(), "reset", now);
		}
		this.entries.forEach((e) -> e.remove(target));
	}

	private void copy(DispatchHarness entry, CopyOrder order, long now) {
		long call = Long.parseLong(order.requestId().substring("request-".length()));
		StepwiseEngine source = (StepwiseEngine) this.engines.get(order.source().id());
		StepwiseEngine destination = (StepwiseEngine) this.engines.get(order.destination().id());
		Optional<Execution> found = Optional.ofNullable(source).flatMap((s) -> s.findRunning(call));
		String handle = call + "-" + order.destination().id();
		long tokens = found.map(Execution::tokens).orElse(0L);
		long missing = tokens - this.copied.getOrDefault(handle, 0L);
		if (found.isEmpty() || destination == null || !destination.hasRoom(missing)) {
			CopyResult.Outcome outcome = found.isEmpty() ? CopyResult.Outcome.NO_SUCH_RUN : CopyResult.Outcome.NO_ROOM;
			this.timers.schedule(now + COMMAND_MILLIS,
					(t) -> entry.dispatcher.copied(call, order, new CopyResult(outcome, ""), t));
			return;
		}
		destination.held.put(call, tokens);
		this.copied.put(handle, tokens);
		if (order.stopFirst()) {
			source.stop(found.get());
			entry.dispatcher.attemptBroken(call, found.get().sent().attempt(), "stopped", now);
		}
		double done = Math.max(now, Math.max(source.linkFreeAt, destination.linkFreeAt)) + missing * TOKEN_MILLIS;
		source.linkFreeAt = done;
		destination.linkFreeAt = done;
		this.timers.schedule(Math.round(done) + COMMAND_MILLIS, (t) -> {
			boolean isLost = !this.engines.containsKey(order.source().id());
			entry.dispatcher.copied(call, order, isLost ? new CopyResult(CopyResult.Outcome.NO_ANSWER, "")
					: new CopyResult(CopyResult.Outcome.COPIED, handle), t);
		});
	}

}
