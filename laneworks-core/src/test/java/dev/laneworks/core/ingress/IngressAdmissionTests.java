package dev.laneworks.core.ingress;

import java.util.Optional;

import dev.laneworks.core.verdict.Refusal;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link IngressAdmission} under load and under failures, in virtual time.
 */
class IngressAdmissionTests {

	private static final long GOAL_MILLIS = 196;

	private static final long INTERVAL_MILLIS = 20;

	private static final IngressLoad BUSY = new IngressLoad(40, 0);

	private final LoopDelay delay = new LoopDelay();

	private final IngressAdmission admission = new IngressAdmission(0.25, this.delay);

	private long now = 1_000;

	// Guards against an overloaded entry that answers everything late.
	@Test
	void answersAcceptedRequestsInTimeUnderOverload() {
		IngressAdmission tolerant = new IngressAdmission(1, new LoopDelay());
		LoadedLoop late = new LoadedLoop().run(tolerant, GOAL_MILLIS, 750, 10);
		LoadedLoop guarded = new LoadedLoop().run(this.admission, GOAL_MILLIS, 750, 10);
		assertThat(late.inTime).isLessThan(late.answered / 2);
		assertThat(guarded.inTime).isAtLeast((int) (0.95 * guarded.answered));
		assertThat(guarded.inTime).isAtLeast((int) (0.8 * 10 * LoadedLoop.CAPACITY_PER_SECOND));
	}

	// Guards against refusals at an entry that would answer in time.
	@Test
	void refusesNothingBelowCapacity() {
		LoadedLoop loop = new LoadedLoop().run(this.admission, GOAL_MILLIS, 375, 10);
		assertThat(loop.refused).isEqualTo(0);
		assertThat(loop.inTime).isEqualTo(loop.answered);
	}

	// Guards against an entry that keeps refusing after the load has stopped, and against
	// one that alternates at the limit.
	@Test
	void acceptsAgainBelowHalfOfLimitAfterLoadStops() {
		probe(200, 20);
		assertThat(refusal(GOAL_MILLIS)).isPresent();
		assertThat(refusal(4_000)).isEmpty();
		int probes = 0;
		for (; refusal(GOAL_MILLIS).isPresent(); probes++) {
			probe(0, 1);
		}
		assertThat(probes * INTERVAL_MILLIS).isAtMost(200);
		assertThat(this.delay.millis(this.now)).isAtMost(GOAL_MILLIS / 8.0);
		probe(50, 1);
		assertThat(refusal(GOAL_MILLIS)).isEmpty();
	}

	// Guards against refusals because the process was stopped or its machine suspended.
	@Test
	void ignoresSinglePauseButNotRepeatedOnes() {
		probe(0, 10);
		this.now += INTERVAL_MILLIS + 2_000;
		assertThat(refusal(GOAL_MILLIS)).isEmpty();
		this.now -= INTERVAL_MILLIS + 2_000;
		probe(2_000, 1);
		assertThat(refusal(GOAL_MILLIS)).isEmpty();
		probe(0, 10);
		probe(2_000, 1);
		assertThat(refusal(GOAL_MILLIS)).isPresent();
	}

	// Guards against refusals that last as long as a clock's jump.
	@Test
	void survivesClockThatJumps() {
		probe(200, 20);
		this.now -= 60_000;
		assertThat(refusal(GOAL_MILLIS)).isEmpty();
		probe(0, 1);
		assertThat(refusal(GOAL_MILLIS)).isEmpty();
		this.now += 60_000;
		assertThat(refusal(GOAL_MILLIS)).isEmpty();
		probe(0, 2);
		assertThat(refusal(GOAL_MILLIS)).isEmpty();
	}

	// Guards against an entry that refuses everything because other processes use its
	// machine.
	@Test
	void acceptsRequestsWhileIdle() {
		probe(200, 20);
		assertThat(this.admission.refuse(GOAL_MILLIS, new IngressLoad(0, 0), this.now)).isEmpty();
		Refusal refusal = this.admission.refuse(GOAL_MILLIS, new IngressLoad(0, 7), this.now).orElseThrow();
		assertThat(refusal.detail()).contains("goal of 196 ms; 0 open calls, 7 bytes queued");
		assertThat(refusal.retryAfter().orElseThrow().toMillis()).isAtMost(20);
	}

	private Optional<Refusal> refusal(long goalMillis) {
		return this.admission.refuse(goalMillis, BUSY, this.now);
	}

	// Runs probes that are each late by some time.
	private void probe(long lateMillis, int count) {
		for (int i = 0; i < count; i++) {
			this.now += INTERVAL_MILLIS + lateMillis;
			this.admission.recordProbe(this.now, this.now + INTERVAL_MILLIS);
		}
	}

}
