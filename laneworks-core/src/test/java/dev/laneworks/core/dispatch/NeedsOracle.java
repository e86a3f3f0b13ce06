package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import dev.laneworks.core.backpressure.TargetNeeds;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Lets targets say at random what they need, and holds a dispatcher to it.
 * <p>
 * A target keeps to the limit that it once named; generations that go on at a copy are
 * not bound by a limit, but are counted.
 */
final class NeedsOracle {

	private static final double[] LIMITS = { 0, 0.2, 1, 5, 50 };

	private static final long WINDOW_MILLIS = 4_000;

	private final String name;

	private final SplittableRandom chance;

	private final Set<TargetRun> leaving = new HashSet<>();

	private final Map<TargetRun, Long> restUntil = new HashMap<>();

	private final Map<TargetRun, Integer> returns = new HashMap<>();

	private final Map<TargetRun, Double> limits = new HashMap<>();

	private final Map<TargetRun, Deque<Long>> orders = new HashMap<>();

	NeedsOracle(String name, SplittableRandom chance) {
		this.name = name;
		this.chance = chance;
	}

	/**
	 * Return what a target says in an answer.
	 * @param target the run of the target
	 * @param isTurnedAway whether it turns the request away
	 * @param now the time in milliseconds
	 * @return what it needs; what it said before of its limit and its leaving holds on
	 */
	TargetNeeds say(TargetRun target, boolean isTurnedAway, long now) {
		if (this.chance.nextInt(4) == 0) {
			this.limits.putIfAbsent(target, LIMITS[this.chance.nextInt(LIMITS.length)]);
		}
		if (this.chance.nextInt(12) == 0) {
			this.leaving.add(target);
		}
		OptionalLong rest = OptionalLong.empty();
		if (isTurnedAway && this.chance.nextBoolean()) {
			rest = OptionalLong.of(this.chance.nextLong(3_000));
			if (this.restUntil.getOrDefault(target, 0L) <= now) {
				this.returns.remove(target);
			}
			this.restUntil.merge(target, now + rest.getAsLong(), Math::max);
		}
		OptionalDouble limit = this.limits.containsKey(target) ? OptionalDouble.of(this.limits.get(target))
				: OptionalDouble.empty();
		return new TargetNeeds(limit, rest, this.leaving.contains(target));
	}

	/**
	 * Take that a request was ordered to be sent.
	 * @param sent the attempt
	 * @param now the time in milliseconds
	 */
	void ordered(Sent sent, long now) {
		TargetRun target = sent.target().run();
		boolean isNew = sent.order().resume().isEmpty();
		if (isNew) {
			assertWithMessage("%s: new work at %s, which leaves", this.name, target).that(this.leaving)
				.doesNotContain(target);
			checkLimit(target, now);
		}
		if (now < this.restUntil.getOrDefault(target, 0L)) {
			int there = this.returns.merge(target, isNew ? 2 : 1, Integer::sum);
			assertWithMessage("%s: sent to %s within its rest", this.name, target).that(there).isAtMost(1);
		}
	}

	private void checkLimit(TargetRun target, long now) {
		if (!this.limits.containsKey(target)) {
			return;
		}
		Deque<Long> window = this.orders.computeIfAbsent(target, (run) -> new ArrayDeque<>());
		window.add(now);
		while (window.peekFirst() <= now - WINDOW_MILLIS) {
			window.removeFirst();
		}
		double allowed = 1.5 * this.limits.get(target) * WINDOW_MILLIS / 1_000 + 5;
		assertWithMessage("%s: at %s within four seconds", this.name, target).that((double) window.size())
			.isAtMost(allowed);
	}

	/**
	 * Take that a request is about to go out.
	 * @param sent the attempt
	 * @param now the time in milliseconds
	 */
	void goesOut(Sent sent, long now) {
		TargetRun target = sent.target().run();
		if (sent.order().resume().isEmpty()) {
			assertWithMessage("%s: goes out to %s, which leaves", this.name, target).that(this.leaving)
				.doesNotContain(target);
			assertWithMessage("%s: goes out to %s within its rest", this.name, target).that(now)
				.isAtLeast(this.restUntil.getOrDefault(target, 0L));
		}
	}

}
