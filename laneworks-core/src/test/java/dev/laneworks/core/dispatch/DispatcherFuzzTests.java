package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Runs a {@link Dispatcher} against randomly behaving targets and checks its invariants:
 * one final answer to each call, no second execution of a request that must not be
 * repeated, true "not run" verdicts, events once and in order, retries within their
 * budget, and no resources held at the end.
 */
class DispatcherFuzzTests {

	private static final int SEEDS = 300;

	private static final int STEPS = 400;

	private static final int RETRIES = 20;

	@Test
	void keepsInvariants() {
		for (long seed = 0; seed < SEEDS; seed++) {
			new Simulation(seed).run();
		}
	}

	@Test
	void sendsNothingToEvacuatedDataCentresOrForbiddenRegions() {
		for (long seed = 0; seed < SEEDS; seed++) {
			Simulation simulation = new Simulation(seed);
			simulation.evacuationRandom = Optional.of(new SplittableRandom(~seed));
			simulation.run();
		}
	}

	// Calls share a few digests, targets crash or answer probes after a broken
	// connection, and other entries report crashes and complete executions; nothing may
	// be sent while it is quarantined.
	@Test
	void keepsInvariantsWithQuarantinedRequests() {
		for (long seed = 0; seed < SEEDS; seed++) {
			Simulation simulation = new Simulation(seed);
			simulation.suspicionRandom = Optional.of(new SplittableRandom(seed * 31 + 7));
			simulation.run();
		}
	}

	@Test
	void respectsBackPressureSignals() {
		for (long seed = 0; seed < SEEDS; seed++) {
			Simulation simulation = new Simulation(seed);
			simulation.oracle = Optional
				.of(new BackpressureOracle(simulation.name, new SplittableRandom(seed * 17 + 3)));
			simulation.run();
		}
	}

	private static final class Simulation {

		private static final List<String> DATA_CENTRES = List.of("dc", "dc2", "dc3");

		private static final Map<String, String> REGIONS = Map.of("dc", "north", "dc2", "north", "dc3", "south");

		/** Evacuates data centres and restricts requests to regions, if present. */
		private Optional<SplittableRandom> evacuationRandom = Optional.empty();

		/**
		 * Gives calls shared digests and crashes targets that execute them, if present.
		 */
		private Optional<SplittableRandom> suspicionRandom = Optional.empty();

		/** Makes targets send back-pressure signals, if present. */
		private Optional<BackpressureOracle> oracle = Optional.empty();

		private final Map<Long, RequestDigest> digests = new HashMap<>();

		private final Set<String> evacuated = new HashSet<>();

		private final Map<Long, String> onlyIn = new HashMap<>();

		private final String name;

		private final SplittableRandom random;

		private final DispatchHarness harness;

		private final List<ListedTarget> targets = new ArrayList<>();

		private final Map<Long, RequestKind> kinds = new HashMap<>();

		private final Map<Long, Integer> runs = new HashMap<>();

		private final Map<Long, Integer> arrivals = new HashMap<>();

		private final Map<Long, Long> nextEvent = new HashMap<>();

		private final List<Sent> connecting = new ArrayList<>();

		private final List<Sent> atTarget = new ArrayList<>();

		private final Map<Long, Long> passed = new HashMap<>();

		private final Set<Long> disconnected = new HashSet<>();

		private int seenSent;

		private int seenCopies;

		private final List<CopyOrder> copying = new ArrayList<>();

		private int joinCount;

		Simulation(long seed) {
			this.name = "seed " + seed;
			this.random = new SplittableRandom(seed);
			this.harness = new DispatchHarness(0, RETRIES, seed);
		}

		void run() {
			for (int i = 0; i < 3; i++) {
				join();
			}
			for (long step = 1; step <= STEPS; step++) {
				step(step);
				collectOrders();
				this.evacuationRandom.ifPresent(this::changeEvacuations);
				this.suspicionRandom.ifPresent(this::simulateSuspicions);
			}
			this.harness.passTime(60_000);
			checkFinalState();
		}

		private void step(long step) {
			switch (this.random.nextInt(12)) {
				case 0, 1 -> open(step);
				case 2, 3, 4 -> connect();
				case 5, 6, 7, 8 -> simulateTarget();
				case 9 -> this.harness.passTime(this.random.nextInt(120));
				case 10 -> endCopy();
				default -> simulateRareEvent();
			}
		}

		private void changeEvacuations(SplittableRandom evacuationChoices) {
			String dataCentre = DATA_CENTRES.get(evacuationChoices.nextInt(DATA_CENTRES.size()));
			switch (evacuationChoices.nextInt(30)) {
				case 0, 1 -> {
					this.evacuated.add(dataCentre);
					this.harness.evacuations.begin(dataCentre);
				}
				case 2, 3, 4 -> {
					this.evacuated.remove(dataCentre);
					this.harness.evacuations.end(dataCentre);
				}
				case 5 -> this.harness.evacuations.replaceAll(this.evacuated);
				default -> {
				}
			}
			collectOrders();
		}

		private void simulateSuspicions(SplittableRandom suspicionChoices) {
			for (ListedTarget checked : List.copyOf(this.harness.checked)) {
				if (suspicionChoices.nextInt(3) > 0) {
					this.harness.probed(checked, suspicionChoices.nextBoolean());
				}
			}
			this.harness.checked.clear();
			for (ListedTarget identified : List.copyOf(this.harness.identified)) {
				if (suspicionChoices.nextInt(3) > 0) {
					String id = suspicionChoices.nextBoolean() ? identified.id() : "another";
					this.harness.identified(identified, ProbeAnswer.Connection.NEW, id);
				}
			}
			this.harness.identified.clear();
			RequestDigest digest = digest(suspicionChoices);
			switch (suspicionChoices.nextInt(20)) {
				case 0 -> this.harness.suspects.recordCrash(digest,
						TargetIncarnation.of("x" + suspicionChoices.nextInt(9)), this.harness.now, this.harness.now);
				case 1 -> this.harness.suspects.recordCompletion(digest, this.harness.now);
				default -> {
				}
			}
			collectOrders();
		}

		private static RequestDigest digest(SplittableRandom suspicionChoices) {
			return RequestDigest.of("acme", "h", "/" + suspicionChoices.nextInt(6), new byte[0]);
		}

		private void checkAllowed(long call, ListedTarget target) {
			assertWithMessage("%s: call %s at %s", this.name, call, target).that(this.evacuated)
				.doesNotContain(target.dataCentre());
			String region = REGIONS.get(target.dataCentre());
			assertWithMessage("%s: region of call %s", this.name, call).that(region)
				.isEqualTo(this.onlyIn.getOrDefault(call, region));
		}

		private void restrictRegions(long call, SplittableRandom evacuationChoices) {
			this.harness.regions = AllowedRegions.any();
			if (evacuationChoices.nextInt(3) == 0) {
				this.onlyIn.put(call, "north");
				this.harness.regions = AllowedRegions.of(List.of("north"));
			}
		}

		private void open(long call) {
			this.evacuationRandom.ifPresent((p) -> restrictRegions(call, p));
			this.suspicionRandom.ifPresent((c) -> {
				this.digests.put(call, digest(c));
				this.harness.shareDigest(call, this.digests.get(call));
			});
			RequestKind kind = RequestKind.values()[this.random.nextInt(3)];
			this.kinds.put(call, kind);
			if (kind == RequestKind.STREAMING) {
				this.harness.openStream(call);
			}
			else {
				this.harness.open(call, kind, kind.isRepeatable() ? 2 : 1);
			}
		}

		private void connect() {
			if (this.connecting.isEmpty()) {
				return;
			}
			Sent sent = this.connecting.remove(this.random.nextInt(this.connecting.size()));
			if (this.random.nextInt(8) == 0) {
				this.harness.dispatcher.connectFailed(sent.call(), sent.attempt(), ConnectFault.REFUSED, "refused",
						this.harness.now);
			}
			else if (this.harness.assertReady(sent)) {
				Optional.ofNullable(this.digests.get(sent.call()))
					.ifPresent((d) -> assertWithMessage("%s: call %s is quarantined", this.name, sent.call())
						.that(this.harness.suspects.remainingQuarantineMillis(d, this.harness.now).isPresent())
						.isFalse());
				this.oracle.ifPresent((n) -> n.checkWritten(sent, this.harness.now));
				this.arrivals.merge(sent.call(), 1, Integer::sum);
				this.atTarget.add(sent);
			}
		}

		private void simulateTarget() {
			if (this.atTarget.isEmpty()) {
				return;
			}
			int index = this.random.nextInt(this.atTarget.size());
			Sent sent = this.atTarget.get(index);
			boolean isStream = this.kinds.get(sent.call()) == RequestKind.STREAMING;
			int choice = this.random.nextInt(10);
			if (choice == 0) {
				recordRun(sent);
				this.atTarget.remove(index);
				this.harness.breakConnection(sent);
			}
			else if (choice <= 2 && !this.nextEvent.containsKey(key(sent))) {
				this.atTarget.remove(index);
				answer(sent, 503, true);
			}
			else if (isStream) {
				stream(sent, index, choice);
			}
			else {
				recordRun(sent);
				this.atTarget.remove(index);
				answer(sent, (choice < 5) ? 500 : 200, false);
			}
		}

		private void answer(Sent sent, int status, boolean isRejected) {
			boolean isOpen = !this.harness.abandoned.contains(sent.call() + "/" + sent.attempt());
			BackpressureSignals signals = this.oracle.filter((n) -> isOpen)
				.map((n) -> n.nextSignals(sent.target().incarnation(), isRejected, this.harness.now))
				.orElse(BackpressureSignals.NONE);
			this.harness.answer(sent, status, isRejected, signals);
		}

		private void stream(Sent sent, int index, int choice) {
			recordRun(sent);
			long next = this.nextEvent.computeIfAbsent(key(sent), (k) -> firstEvent(sent));
			if (choice == 9 && next > 0) {
				this.atTarget.remove(index);
				this.harness.dispatcher.streamEnded(sent.call(), sent.attempt(), AnswerEnd.MARKED, this.harness.now);
				return;
			}
			this.nextEvent.put(key(sent), next + 1);
			if (this.harness.event(sent, next)) {
				long expected = this.passed.merge(sent.call(), 1L, Long::sum) - 1;
				assertWithMessage("%s: event passed to call %s", this.name, sent.call()).that(next).isEqualTo(expected);
			}
		}

		private static long firstEvent(Sent sent) {
			return sent.order()
				.resume()
				.map((r) -> r.lastEvent().isEmpty() ? 0L : Long.parseLong(r.lastEvent()) + 1)
				.orElse(0L);
		}

		// A generation that resumes elsewhere is the same execution.
		private void recordRun(Sent sent) {
			if (sent.order().resume().isEmpty() && !this.nextEvent.containsKey(key(sent))) {
				this.runs.merge(sent.call(), 1, Integer::sum);
			}
		}

		private void endCopy() {
			if (this.copying.isEmpty()) {
				return;
			}
			CopyOrder order = this.copying.remove(this.random.nextInt(this.copying.size()));
			CopyResult.Outcome[] outcomes = CopyResult.Outcome.values();
			CopyResult.Outcome outcome = outcomes[this.random.nextInt(outcomes.length)];
			long call = Long.parseLong(order.requestId().substring("request-".length()));
			String handle = (outcome == CopyResult.Outcome.COPIED) ? "h" : "";
			this.harness.dispatcher.copied(call, order, new CopyResult(outcome, handle), this.harness.now);
		}

		private void simulateRareEvent() {
			int choice = this.random.nextInt(4);
			if (choice == 0) {
				join();
			}
			else if (choice == 1 && this.targets.size() > 2) {
				this.harness.drain(this.targets.remove(this.random.nextInt(this.targets.size())));
			}
			else if (choice == 2 && !this.kinds.isEmpty()) {
				List<Long> all = new ArrayList<>(this.kinds.keySet());
				long call = all.get(this.random.nextInt(all.size()));
				if (this.harness.answers(call).isEmpty()) {
					this.disconnected.add(call);
				}
				this.harness.dispatcher.callerDisconnected(call, this.harness.now);
			}
			else {
				this.harness.passTime(this.random.nextInt(1_500));
			}
		}

		private void join() {
			this.joinCount++;
			String dataCentre = this.evacuationRandom.map((p) -> DATA_CENTRES.get(p.nextInt(DATA_CENTRES.size())))
				.orElse("dc");
			this.targets.add(this.harness.join(DispatchHarness.PLAIN, "p" + this.joinCount, dataCentre));
			this.targets.add(this.harness.join(DispatchHarness.ENGINES, "e" + this.joinCount, dataCentre));
		}

		private void collectOrders() {
			while (this.seenSent < this.harness.sent.size()) {
				Sent sent = this.harness.sent.get(this.seenSent++);
				checkAllowed(sent.call(), sent.target());
				this.oracle.ifPresent((n) -> n.checkOrdered(sent, this.harness.now));
				this.connecting.add(sent);
			}
			while (this.seenCopies < this.harness.copies.size()) {
				CopyOrder order = this.harness.copies.get(this.seenCopies++);
				checkAllowed(Long.parseLong(order.requestId().substring("request-".length())), order.destination());
				this.copying.add(order);
			}
		}

		private long key(Sent sent) {
			return sent.call() * 1_000 + sent.attempt();
		}

		// Refused connections are reported to other entries, but are no work.
		private List<WorkAtTarget> workHeld() {
			return this.harness.estimates.localWork()
				.stream()
				.filter((w) -> !w.equals(new WorkAtTarget(w.target(), 0, 0, 0, 0, false, w.refused(), false)))
				.toList();
		}

		private void checkFinalState() {
			assertWithMessage("%s: open calls", this.name).that(this.harness.dispatcher.openCalls()).isEqualTo(0);
			assertWithMessage("%s: work held", this.name).that(workHeld()).isEmpty();
			this.kinds.forEach(this::checkCall);
			int repeated = this.arrivals.values().stream().mapToInt((a) -> a - 1).sum();
			long windows = this.harness.now / 10_000 + 1;
			assertWithMessage("%s: retries", this.name).that(repeated).isAtMost((int) (RETRIES * windows));
		}

		private void checkCall(long call, RequestKind kind) {
			List<String> answers = this.harness.answers(call).stream().filter((a) -> !a.equals("started")).toList();
			if (answers.isEmpty()) {
				assertWithMessage("%s: caller of unanswered call %s disconnected", this.name, call)
					.that(isDisconnected(call))
					.isTrue();
			}
			assertWithMessage("%s: answers to call %s: %s", this.name, call, answers).that(answers.size()).isAtMost(1);
			int ran = this.runs.getOrDefault(call, 0);
			if (!kind.isRepeatable()) {
				assertWithMessage("%s: runs of call %s", this.name, call).that(ran).isAtMost(1);
			}
			if (this.harness.refusals.containsKey(call)
					&& this.harness.refusals.get(call).verdict() == Verdict.NOT_RUN) {
				assertWithMessage("%s: runs of call %s refused as not run", this.name, call).that(ran).isEqualTo(0);
			}
		}

		private boolean isDisconnected(long call) {
			return this.disconnected.contains(call) || this.harness.audit.stream()
				.anyMatch((e) -> e.subject().equals(DispatchHarness.id(call)) && e.kind().label().equals("cancelled"));
		}

	}

}
