package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.backpressure.TargetNeeds;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Plays random targets against a {@link Dispatcher} and holds it to what must always be
 * so: one final answer to each call; what may run once runs once; "not run" is true;
 * events come once and in order; repeated sendings stay within their budget; nothing is
 * held in the end.
 */
class DispatcherFuzzTests {

	private static final int SEEDS = 300;

	private static final int STEPS = 400;

	private static final int RETRIES = 20;

	@Test
	void holdsWhatMustAlwaysBeSo() {
		for (long seed = 0; seed < SEEDS; seed++) {
			new Play(seed).run();
		}
	}

	@Test
	void sendsNothingWhereNothingMayGo() {
		for (long seed = 0; seed < SEEDS; seed++) {
			Play play = new Play(seed);
			play.places = Optional.of(new SplittableRandom(~seed));
			play.run();
		}
	}

	// Calls ask for one of a few things; targets end or live behind a break, other
	// entries
	// tell of ends and of whole runs, and nothing may be sent while it is quarantined.
	@Test
	void holdsThatAlsoWhereRequestsAreQuarantined() {
		for (long seed = 0; seed < SEEDS; seed++) {
			Play play = new Play(seed);
			play.suspicions = Optional.of(new SplittableRandom(seed * 31 + 7));
			play.run();
		}
	}

	@Test
	void keepsToWhatTargetsSayThatTheyNeed() {
		for (long seed = 0; seed < SEEDS; seed++) {
			Play play = new Play(seed);
			play.needs = Optional.of(new NeedsOracle(play.name, new SplittableRandom(seed * 17 + 3)));
			play.run();
		}
	}

	private static final class Play {

		private static final List<String> DATA_CENTRES = List.of("dc", "dc2", "dc3");

		private static final Map<String, String> REGIONS = Map.of("dc", "north", "dc2", "north", "dc3", "south");

		/**
		 * Evacuates data centres, and restricts requests to regions, where it is there.
		 */
		private Optional<SplittableRandom> places = Optional.empty();

		/**
		 * Lets calls ask for the same and targets end under them, where it is there.
		 */
		private Optional<SplittableRandom> suspicions = Optional.empty();

		/** Lets targets say what they need, where it is there. */
		private Optional<NeedsOracle> needs = Optional.empty();

		private final Map<Long, RequestDigest> digests = new HashMap<>();

		private final Set<String> evacuated = new HashSet<>();

		private final Map<Long, String> onlyIn = new HashMap<>();

		private final String name;

		private final SplittableRandom random;

		private final DispatchHarness world;

		private final List<ListedTarget> targets = new ArrayList<>();

		private final Map<Long, RequestKind> kinds = new HashMap<>();

		private final Map<Long, Integer> runs = new HashMap<>();

		private final Map<Long, Integer> arrivals = new HashMap<>();

		private final Map<Long, Long> nextEvent = new HashMap<>();

		private final List<Sent> connecting = new ArrayList<>();

		private final List<Sent> atTarget = new ArrayList<>();

		private final Map<Long, Long> passed = new HashMap<>();

		private final Set<Long> left = new HashSet<>();

		private int seenSent;

		private int seenCopies;

		private final List<CopyOrder> copying = new ArrayList<>();

		private int joined;

		Play(long seed) {
			this.name = "seed " + seed;
			this.random = new SplittableRandom(seed);
			this.world = new DispatchHarness(0, RETRIES, seed);
		}

		void run() {
			for (int i = 0; i < 3; i++) {
				join();
			}
			for (long step = 1; step <= STEPS; step++) {
				step(step);
				collect();
				this.places.ifPresent(this::change);
				this.suspicions.ifPresent(this::suspect);
			}
			this.world.passTime(60_000);
			check();
		}

		private void step(long step) {
			switch (this.random.nextInt(12)) {
				case 0, 1 -> open(step);
				case 2, 3, 4 -> connect();
				case 5, 6, 7, 8 -> act();
				case 9 -> this.world.passTime(this.random.nextInt(120));
				case 10 -> copied();
				default -> rare();
			}
		}

		private void change(SplittableRandom place) {
			String dataCentre = DATA_CENTRES.get(place.nextInt(DATA_CENTRES.size()));
			switch (place.nextInt(30)) {
				case 0, 1 -> {
					this.evacuated.add(dataCentre);
					this.world.evacuations.begin(dataCentre);
				}
				case 2, 3, 4 -> {
					this.evacuated.remove(dataCentre);
					this.world.evacuations.end(dataCentre);
				}
				case 5 -> this.world.evacuations.replaceAll(this.evacuated);
				default -> {
				}
			}
			collect();
		}

		private void suspect(SplittableRandom chance) {
			for (ListedTarget checked : List.copyOf(this.world.checked)) {
				if (chance.nextInt(3) > 0) {
					this.world.dispatcher.checked(checked, chance.nextBoolean(), this.world.now);
				}
			}
			this.world.checked.clear();
			RequestDigest digest = digest(chance);
			switch (chance.nextInt(20)) {
				case 0 -> this.world.suspects.ended(digest, TargetRun.of("x" + chance.nextInt(9)), this.world.now,
						this.world.now);
				case 1 -> this.world.suspects.ranWhole(digest, this.world.now);
				default -> {
				}
			}
			collect();
		}

		private static RequestDigest digest(SplittableRandom chance) {
			return RequestDigest.of("acme", "h", "/" + chance.nextInt(6), new byte[0]);
		}

		private void checkPlace(long call, ListedTarget target) {
			assertWithMessage("%s: call %s at %s", this.name, call, target).that(this.evacuated)
				.doesNotContain(target.dataCentre());
			String region = REGIONS.get(target.dataCentre());
			assertWithMessage("%s: region of call %s", this.name, call).that(region)
				.isEqualTo(this.onlyIn.getOrDefault(call, region));
		}

		private void restrict(long call, SplittableRandom place) {
			this.world.regions = AllowedRegions.any();
			if (place.nextInt(3) == 0) {
				this.onlyIn.put(call, "north");
				this.world.regions = AllowedRegions.of(List.of("north"));
			}
		}

		private void open(long call) {
			this.places.ifPresent((p) -> restrict(call, p));
			this.suspicions.ifPresent((c) -> {
				this.digests.put(call, digest(c));
				this.world.asks(call, this.digests.get(call));
			});
			RequestKind kind = RequestKind.values()[this.random.nextInt(3)];
			this.kinds.put(call, kind);
			if (kind == RequestKind.STREAMING) {
				this.world.openStream(call);
			}
			else {
				this.world.open(call, kind, kind.isRepeatable() ? 2 : 1);
			}
		}

		private void connect() {
			if (this.connecting.isEmpty()) {
				return;
			}
			Sent sent = this.connecting.remove(this.random.nextInt(this.connecting.size()));
			if (this.random.nextInt(8) == 0) {
				this.world.dispatcher.connectFailed(sent.call(), sent.attempt(), ConnectFault.REFUSED, "refused",
						this.world.now);
			}
			else if (this.world.assertReady(sent)) {
				Optional.ofNullable(this.digests.get(sent.call()))
					.ifPresent((d) -> assertWithMessage("%s: call %s is quarantined", this.name, sent.call())
						.that(this.world.suspects.quarantinedFor(d, this.world.now).isPresent())
						.isFalse());
				this.needs.ifPresent((n) -> n.goesOut(sent, this.world.now));
				this.arrivals.merge(sent.call(), 1, Integer::sum);
				this.atTarget.add(sent);
			}
		}

		private void act() {
			if (this.atTarget.isEmpty()) {
				return;
			}
			int index = this.random.nextInt(this.atTarget.size());
			Sent sent = this.atTarget.get(index);
			boolean isStream = this.kinds.get(sent.call()) == RequestKind.STREAMING;
			int choice = this.random.nextInt(10);
			if (choice == 0) {
				runs(sent);
				this.atTarget.remove(index);
				this.world.breakOff(sent);
			}
			else if (choice <= 2 && !this.nextEvent.containsKey(key(sent))) {
				this.atTarget.remove(index);
				answer(sent, 503, true);
			}
			else if (isStream) {
				stream(sent, index, choice);
			}
			else {
				runs(sent);
				this.atTarget.remove(index);
				answer(sent, (choice < 5) ? 500 : 200, false);
			}
		}

		private void answer(Sent sent, int status, boolean isTurnedAway) {
			boolean isHeard = !this.world.abandoned.contains(sent.call() + "/" + sent.attempt());
			TargetNeeds needs = this.needs.filter((n) -> isHeard)
				.map((n) -> n.say(sent.target().run(), isTurnedAway, this.world.now))
				.orElse(TargetNeeds.NONE);
			this.world.answer(sent, status, isTurnedAway, needs);
		}

		private void stream(Sent sent, int index, int choice) {
			runs(sent);
			long next = this.nextEvent.computeIfAbsent(key(sent), (k) -> firstEvent(sent));
			if (choice == 9 && next > 0) {
				this.atTarget.remove(index);
				this.world.dispatcher.streamEnded(sent.call(), sent.attempt(), this.world.now);
				return;
			}
			this.nextEvent.put(key(sent), next + 1);
			if (this.world.event(sent, next)) {
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

		// A generation that goes on elsewhere is the same run.
		private void runs(Sent sent) {
			if (sent.order().resume().isEmpty() && !this.nextEvent.containsKey(key(sent))) {
				this.runs.merge(sent.call(), 1, Integer::sum);
			}
		}

		private void copied() {
			if (this.copying.isEmpty()) {
				return;
			}
			CopyOrder order = this.copying.remove(this.random.nextInt(this.copying.size()));
			CopyResult.Outcome[] outcomes = CopyResult.Outcome.values();
			CopyResult.Outcome outcome = outcomes[this.random.nextInt(outcomes.length)];
			long call = Long.parseLong(order.requestId().substring("request-".length()));
			String handle = (outcome == CopyResult.Outcome.COPIED) ? "h" : "";
			this.world.dispatcher.copied(call, order, new CopyResult(outcome, handle), this.world.now);
		}

		private void rare() {
			int choice = this.random.nextInt(4);
			if (choice == 0) {
				join();
			}
			else if (choice == 1 && this.targets.size() > 2) {
				this.world.leave(this.targets.remove(this.random.nextInt(this.targets.size())));
			}
			else if (choice == 2 && !this.kinds.isEmpty()) {
				List<Long> all = new ArrayList<>(this.kinds.keySet());
				long call = all.get(this.random.nextInt(all.size()));
				if (this.world.answers(call).isEmpty()) {
					this.left.add(call);
				}
				this.world.dispatcher.callerLeft(call, this.world.now);
			}
			else {
				this.world.passTime(this.random.nextInt(1_500));
			}
		}

		private void join() {
			this.joined++;
			String dataCentre = this.places.map((p) -> DATA_CENTRES.get(p.nextInt(DATA_CENTRES.size()))).orElse("dc");
			this.targets.add(this.world.join(DispatchHarness.PLAIN, "p" + this.joined, dataCentre));
			this.targets.add(this.world.join(DispatchHarness.ENGINES, "e" + this.joined, dataCentre));
		}

		private void collect() {
			while (this.seenSent < this.world.sent.size()) {
				Sent sent = this.world.sent.get(this.seenSent++);
				checkPlace(sent.call(), sent.target());
				this.needs.ifPresent((n) -> n.ordered(sent, this.world.now));
				this.connecting.add(sent);
			}
			while (this.seenCopies < this.world.copies.size()) {
				CopyOrder order = this.world.copies.get(this.seenCopies++);
				checkPlace(Long.parseLong(order.requestId().substring("request-".length())), order.destination());
				this.copying.add(order);
			}
		}

		private long key(Sent sent) {
			return sent.call() * 1_000 + sent.attempt();
		}

		// What is told of refused connections is no work.
		private List<WorkAtTarget> workHeld() {
			return this.world.beliefs.ownWork()
				.stream()
				.filter((w) -> !w.equals(new WorkAtTarget(w.target(), 0, 0, 0, 0, false, w.refused(), false)))
				.toList();
		}

		private void check() {
			assertWithMessage("%s: open calls", this.name).that(this.world.dispatcher.openCalls()).isEqualTo(0);
			assertWithMessage("%s: work held", this.name).that(workHeld()).isEmpty();
			this.kinds.forEach(this::checkCall);
			int repeated = this.arrivals.values().stream().mapToInt((a) -> a - 1).sum();
			long windows = this.world.now / 10_000 + 1;
			assertWithMessage("%s: repeated sendings", this.name).that(repeated).isAtMost((int) (RETRIES * windows));
		}

		private void checkCall(long call, RequestKind kind) {
			List<String> answers = this.world.answers(call).stream().filter((a) -> !a.equals("started")).toList();
			if (answers.isEmpty()) {
				assertWithMessage("%s: call %s without an answer left", this.name, call).that(hasLeft(call)).isTrue();
			}
			assertWithMessage("%s: answers to call %s: %s", this.name, call, answers).that(answers.size()).isAtMost(1);
			int ran = this.runs.getOrDefault(call, 0);
			if (!kind.isRepeatable()) {
				assertWithMessage("%s: runs of call %s", this.name, call).that(ran).isAtMost(1);
			}
			if (this.world.refusals.containsKey(call) && this.world.refusals.get(call).verdict() == Verdict.NOT_RUN) {
				assertWithMessage("%s: runs of call %s refused as not run", this.name, call).that(ran).isEqualTo(0);
			}
		}

		private boolean hasLeft(long call) {
			return this.left.contains(call) || this.world.audit.stream()
				.anyMatch((e) -> e.subject().equals(DispatchHarness.id(call)) && e.kind().label().equals("cancelled"));
		}

	}

}
