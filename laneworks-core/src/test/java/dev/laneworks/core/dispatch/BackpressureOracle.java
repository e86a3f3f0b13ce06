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

import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Generates random back-pressure signals of targets and asserts that a dispatcher obeys
 * them.
 * <p>
 * The rate limit of a target does not change once set. Resumed generations are exempt
 * from the rate limit, but at most one is sent to a target within a backoff period.
 */
final class BackpressureOracle {

	private static final double[] LIMITS = { 0, 0.2, 1, 5, 50 };

	private static final long WINDOW_MILLIS = 4_000;

	private final String name;

	private final SplittableRandom random;

	private final Set<TargetIncarnation> draining = new HashSet<>();

	private final Map<TargetIncarnation, Long> backoffUntil = new HashMap<>();

	private final Map<TargetIncarnation, Integer> sentWithinBackoff = new HashMap<>();

	private final Map<TargetIncarnation, Double> limits = new HashMap<>();

	private final Map<TargetIncarnation, Deque<Long>> sentAt = new HashMap<>();

	BackpressureOracle(String name, SplittableRandom random) {
		this.name = name;
		this.random = random;
	}

	/**
	 * Return the back-pressure signals of a response.
	 * @param target the incarnation of the target
	 * @param isRejected whether the target rejects the request
	 * @param now the current time in milliseconds of virtual time
	 * @return the signals; the rate limit and draining persist from earlier responses
	 */
	BackpressureSignals nextSignals(TargetIncarnation target, boolean isRejected, long now) {
		if (this.random.nextInt(4) == 0) {
			this.limits.putIfAbsent(target, LIMITS[this.random.nextInt(LIMITS.length)]);
		}
		if (this.random.nextInt(12) == 0) {
			this.draining.add(target);
		}
		OptionalLong backoff = OptionalLong.empty();
		if (isRejected && this.random.nextBoolean()) {
			backoff = OptionalLong.of(this.random.nextLong(3_000));
			if (this.backoffUntil.getOrDefault(target, 0L) <= now) {
				this.sentWithinBackoff.remove(target);
			}
			this.backoffUntil.merge(target, now + backoff.getAsLong(), Math::max);
		}
		OptionalDouble limit = this.limits.containsKey(target) ? OptionalDouble.of(this.limits.get(target))
				: OptionalDouble.empty();
		return new BackpressureSignals(limit, backoff, this.draining.contains(target));
	}

	/**
	 * Check an attempt that was ordered to be sent.
	 * @param sent the attempt to check
	 * @param now the current time in milliseconds of virtual time
	 */
	void checkOrdered(Sent sent, long now) {
		TargetIncarnation target = sent.target().incarnation();
		boolean isNew = sent.order().resume().isEmpty();
		if (isNew) {
			assertWithMessage("%s: new work at %s, which is draining", this.name, target).that(this.draining)
				.doesNotContain(target);
			checkLimit(target, now);
		}
		if (now < this.backoffUntil.getOrDefault(target, 0L)) {
			int sentThere = this.sentWithinBackoff.merge(target, isNew ? 2 : 1, Integer::sum);
			assertWithMessage("%s: sent to %s within its backoff period", this.name, target).that(sentThere)
				.isAtMost(1);
		}
	}

	private void checkLimit(TargetIncarnation target, long now) {
		if (!this.limits.containsKey(target)) {
			return;
		}
		Deque<Long> window = this.sentAt.computeIfAbsent(target, (incarnation) -> new ArrayDeque<>());
		window.add(now);
		while (window.peekFirst() <= now - WINDOW_MILLIS) {
			window.removeFirst();
		}
		double allowed = 1.5 * this.limits.get(target) * WINDOW_MILLIS / 1_000 + 5;
		assertWithMessage("%s: requests sent to %s within four seconds", this.name, target).that((double) window.size())
			.isAtMost(allowed);
	}

	/**
	 * Check an attempt whose request is about to be written.
	 * @param sent the attempt to check
	 * @param now the current time in milliseconds of virtual time
	 */
	void checkWritten(Sent sent, long now) {
		TargetIncarnation target = sent.target().incarnation();
		if (sent.order().resume().isEmpty()) {
			assertWithMessage("%s: written to %s, which is draining", this.name, target).that(this.draining)
				.doesNotContain(target);
			assertWithMessage("%s: written to %s within its backoff period", this.name, target).that(now)
				.isAtLeast(this.backoffUntil.getOrDefault(target, 0L));
		}
	}

}
