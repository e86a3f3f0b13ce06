package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.OptionalLong;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EngineAdmission}, alone and in a {@link Dispatcher} whose engines are
 * full.
 */
class EngineAdmissionTests {

	private static final GenerationSize LONG = new GenerationSize("m", 3_000, 1_000, OptionalLong.empty(), List.of());

	private final EngineAdmission admission = new EngineAdmission();

	@Test
	void admitsGenerationThatWaitsLessThanItsGoal() {
		assertThat(this.admission.waitMillis(0.2, 0, 1_800, 39_000)).isEqualTo(OptionalLong.empty());
		assertThat(this.admission.waitMillis(1.19, 0, 1_800, 39_000)).isEqualTo(OptionalLong.empty());
	}

	@Test
	void rejectsGenerationThatWouldWaitLonger() {
		assertThat(this.admission.waitMillis(1.3, 0, 1_800, 39_000)).isEqualTo(OptionalLong.of(2_700));
		assertThat(this.admission.waitMillis(1.3, 0, 3_000, 3_000)).isEqualTo(OptionalLong.of(2_700));
	}

	@Test
	void lowerPriorityIsRejectedFirst() {
		assertThat(this.admission.waitMillis(1.15, 0, 1_800, 39_000)).isEqualTo(OptionalLong.empty());
		assertThat(this.admission.waitMillis(1.15, 1, 1_800, 39_000)).isEqualTo(OptionalLong.of(1_350));
	}

	@Test
	void waitFollowsMeanLifetime() {
		for (int i = 0; i < 200; i++) {
			this.admission.recordLifetime(LONG, 2_000);
		}
		assertThat(this.admission.waitMillis(1.8, 0, 1_800, 39_000)).isEqualTo(OptionalLong.empty());
		for (int i = 0; i < 200; i++) {
			this.admission.recordLifetime(LONG, 20_000);
		}
		assertThat(this.admission.waitMillis(1.3, 0, 1_800, 39_000).getAsLong()).isAtLeast(5_900);
	}

	@Test
	void memoryReleaseTimeIsProportionalToMemory() {
		assertThat(this.admission.memoryReleaseMillis(LONG, 32_500)).isWithin(0.001).of(900);
	}

	@Test
	void memoryOfShortGenerationIsReleasedSooner() {
		GenerationSize shortWork = new GenerationSize("m", 3_210, 40, OptionalLong.empty(), List.of());
		for (int i = 0; i < 200; i++) {
			this.admission.recordLifetime(shortWork, 1_000);
		}
		assertThat(this.admission.memoryReleaseMillis(shortWork, 32_500)).isWithin(1).of(100);
	}

	@Test
	void callersRejectedTogetherReceiveDifferentRetryTimes() {
		DispatchHarness harness = DispatchHarness.create();
		harness.join(DispatchHarness.ENGINES, "a");
		harness.workOfOthers.put("a", new WorkAtTarget(TargetIncarnation.of("a"), 20, 60_000, 0, 0, false, 0, false));
		harness.openStream(1);
		harness.openStream(2);
		long first = harness.refusals.get(1L).retryAfter().get().toMillis();
		assertThat(harness.refusals.get(2L).retryAfter().get().toMillis()).isAtLeast(first + 3_000);
	}

	@Test
	void generationIsRefusedAtOnceWhenAllEnginesAreOvercommitted() {
		DispatchHarness harness = DispatchHarness.create();
		harness.join(DispatchHarness.ENGINES, "a");
		harness.workOfOthers.put("a", new WorkAtTarget(TargetIncarnation.of("a"), 20, 60_000, 0, 0, false, 0, false));
		harness.openStream(1);
		Refusal refusal = harness.refusals.get(1L);
		assertThat(refusal.reason()).isEqualTo(RefusalReason.OVERLOADED);
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refusal.retryAfter().get().toMillis()).isGreaterThan(5_000L);
		assertThat(harness.sent).isEmpty();
		harness.workOfOthers.put("a", new WorkAtTarget(TargetIncarnation.of("a"), 8, 29_000, 0, 0, false, 0, false));
		harness.openStream(2);
		assertThat(harness.sent).hasSize(1);
	}

	@Test
	void generationPrefersFreeMemoryToShorterPromptQueue() {
		DispatchHarness harness = DispatchHarness.create();
		harness.join(DispatchHarness.ENGINES, "full");
		harness.join(DispatchHarness.ENGINES, "reading");
		harness.workOfOthers.put("full",
				new WorkAtTarget(TargetIncarnation.of("full"), 12, 45_000, 0, 0, false, 0, false));
		harness.workOfOthers.put("reading",
				new WorkAtTarget(TargetIncarnation.of("reading"), 4, 20_000, 12_000, 0, false, 0, false));
		harness.openStream(1);
		assertThat(harness.refusals).isEmpty();
		assertThat(harness.sent.get(0).target().id()).isEqualTo("reading");
	}

}
