package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import dev.laneworks.core.directory.TargetIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SuspectParts}.
 */
class SuspectPartsTests {

	private static final String OWN = "own";

	/** The time for which the ages of collected observations are stated. */
	private static final long OBSERVED_BY_MILLIS = 1_000;

	private final List<SuspectPartGroup> quarantined = new ArrayList<>();

	private final List<SuspectPartGroup> cleared = new ArrayList<>();

	private final List<PartObservation> observed = new ArrayList<>();

	private final SuspectParts parts = create();

	private int crashes;

	@Test
	void fourCrashesQuarantineRequestsWithTheirCommonPart() {
		crash(0, prompt("a", "s1", "bad"));
		crash(100, prompt("a", "s2", "bad"));
		crash(200, prompt("a", "bad", "s3"));
		assertThat(remaining(prompt("a", "s4", "bad"), 200).isEmpty()).isTrue();
		crash(300, prompt("a", "s4", "bad"));
		assertThat(remaining(prompt("a", "s9", "bad"), 300).getAsLong()).isEqualTo(60_000);
		assertThat(remaining(prompt("a", "s1", "s2", "s3", "s4"), 300).isEmpty()).isTrue();
		assertThat(this.quarantined).hasSize(1);
	}

	// Guards against the quarantine of sound requests that share the first part.
	@Test
	void requestWithOnlySomeOfTheInseparablePartsIsSent() {
		crashFourTimes(0, prompt("a", "first", "bad", "last"));
		assertThat(remaining(prompt("a", "first", "bad", "last"), 400).isPresent()).isTrue();
		assertThat(remaining(prompt("a", "first", "last"), 400).isEmpty()).isTrue();
		assertThat(remaining(prompt("a", "bad"), 400).isEmpty()).isTrue();
	}

	@Test
	void successSeparatesTheHarmfulPartFromThePartsBesideIt() {
		crashFourTimes(0, prompt("a", "first", "bad", "last"));
		this.parts.recordSuccess(prompt("a", "first", "last"), 500, 900);
		assertThat(remaining(prompt("a", "other", "bad"), 900).isPresent()).isTrue();
		assertThat(this.cleared).hasSize(1);
		assertThat(this.quarantined).hasSize(2);
	}

	@Test
	void furtherCrashSeparatesTheHarmfulPartFromThePartsBesideIt() {
		crashFourTimes(0, prompt("a", "first", "bad", "last"));
		crash(500, prompt("a", "other", "bad"));
		assertThat(remaining(prompt("a", "bad"), 500).isPresent()).isTrue();
		assertThat(remaining(prompt("a", "first", "last"), 500).isEmpty()).isTrue();
	}

	// Guards against the quarantine of parts that merely ran on the crashed targets.
	@Test
	void crashesThatOnePartExplainsDoNotCountForOthers() {
		for (int i = 0; i < 4; i++) {
			crash(i * 100, prompt("a", "s" + i, "bad"), prompt("a", "sound"));
		}
		crash(400, prompt("a", "bad"));
		assertThat(remaining(prompt("a", "bad"), 400).isPresent()).isTrue();
		assertThat(remaining(prompt("a", "sound"), 400).isEmpty()).isTrue();
	}

	@Test
	void twoHarmfulPartsAreBothFound() {
		for (int i = 0; i < 4; i++) {
			crash(i * 200, prompt("a", "s" + i, "bad"));
			crash(i * 200 + 100, prompt("a", "s" + i, "worse"));
		}
		assertThat(remaining(prompt("a", "bad"), 800).isPresent()).isTrue();
		assertThat(remaining(prompt("a", "worse"), 800).isPresent()).isTrue();
		assertThat(remaining(prompt("a", "s0", "s1", "s2", "s3"), 800).isEmpty()).isTrue();
	}

	// Guards against a request that began before its part became harmful and clears it.
	@Test
	void onlySuccessesThatBeganAfterACrashRefuteIt() {
		crashFourTimes(1_000, prompt("a", "bad"));
		this.parts.recordSuccess(prompt("a", "bad"), 999, 1_400);
		assertThat(remaining(prompt("a", "bad"), 1_400).isPresent()).isTrue();
		this.parts.recordSuccess(prompt("a", "bad"), 1_300, 1_400);
		assertThat(remaining(prompt("a", "bad"), 1_400).isEmpty()).isTrue();
		assertThat(this.cleared).hasSize(1);
	}

	// Guards against the quarantine of common parts when many targets crash at once.
	@Test
	void crashesAtTheSameMomentCountOnce() {
		for (int i = 0; i < 20; i++) {
			crash(i, prompt("a", "common"));
		}
		assertThat(remaining(prompt("a", "common"), 20).isEmpty()).isTrue();
	}

	// Guards against an account that names the part of another one in harmful requests.
	@Test
	void crashesUnderOneAccountDoNotConcernOtherAccounts() {
		crashFourTimes(0, prompt("a", "bad"));
		assertThat(remaining(prompt("a", "bad"), 400).isPresent()).isTrue();
		assertThat(remaining(prompt("b", "bad"), 400).isEmpty()).isTrue();
		crash(500, prompt("b", "bad"));
		assertThat(remaining(prompt("c", "bad"), 500).isPresent()).isTrue();
	}

	@Test
	void singleTrialsBecomeRarerUntilOneSucceeds() {
		crashFourTimes(0, prompt("a", "bad"));
		long trial = 60_300;
		assertThat(remaining(prompt("a", "bad"), trial - 1).getAsLong()).isEqualTo(1);
		assertThat(remaining(prompt("a", "bad"), trial).isEmpty()).isTrue();
		this.parts.recordSent(prompt("a", "bad"), trial);
		assertThat(remaining(prompt("a", "bad"), trial + 1).isPresent()).isTrue();
		crash(trial + 200, prompt("a", "bad"));
		long next = trial + 200 + 240_000;
		assertThat(remaining(prompt("a", "bad"), next - 1).getAsLong()).isEqualTo(1);
		this.parts.recordSent(prompt("a", "bad"), next);
		this.parts.recordSuccess(prompt("a", "bad"), next + 100, next + 300);
		assertThat(remaining(prompt("a", "bad"), next + 300).isEmpty()).isTrue();
	}

	// Guards against a part of all requests that stays in quarantine, since no request is
	// left to clear it or its trials have the harmful part, too.
	@Test
	void commonPartIsTriedEarlyWithRequestsWithoutOtherSuspectParts() {
		for (int i = 0; i < 8; i++) {
			this.parts.recordReceived(prompt("a", "all", "s" + i));
		}
		crash(0, prompt("a", "all", "bad"));
		crash(100, prompt("a", "all", "worse"));
		crash(200, prompt("a", "all", "bad"));
		crash(300, prompt("a", "all", "worse"));
		assertThat(remaining(prompt("a", "all", "bad"), 1_300).getAsLong()).isEqualTo(2_000);
		assertThat(remaining(prompt("a", "all", "sound"), 1_300).isEmpty()).isTrue();
		this.parts.recordSuccess(prompt("a", "all", "sound"), 1_400, 1_800);
		assertThat(remaining(prompt("a", "all", "other"), 1_800).isEmpty()).isTrue();
	}

	@Test
	void partWithAnEarlierSuccessNeedsMoreCrashes() {
		this.parts.recordSuccess(prompt("a", "used"), 0, 100);
		crashFourTimes(1_000, prompt("a", "used"));
		crash(1_400, prompt("a", "used"));
		assertThat(remaining(prompt("a", "used"), 1_400).isEmpty()).isTrue();
		crash(1_500, prompt("a", "used"));
		assertThat(remaining(prompt("a", "used"), 1_500).isPresent()).isTrue();
	}

	@Test
	void observationsOfOthersCountInAnyOrderAndOnce() {
		crashFourTimes(0, prompt("a", "first", "bad"));
		this.parts.recordSuccess(prompt("a", "first"), 350, 400);
		List<PartObservation> latestFirst = new ArrayList<>(this.observed);
		Collections.reverse(latestFirst);
		SuspectParts other = create();
		latestFirst.forEach((o) -> other.handleObservations(List.of(o), OBSERVED_BY_MILLIS));
		other.handleObservations(latestFirst, OBSERVED_BY_MILLIS);
		assertThat(other.remainingQuarantineMillis(prompt("b", "first", "bad"), OBSERVED_BY_MILLIS).isEmpty()).isTrue();
		assertThat(other.remainingQuarantineMillis(prompt("a", "bad"), OBSERVED_BY_MILLIS).isPresent()).isTrue();
		assertThat(other.remainingQuarantineMillis(prompt("a", "first"), OBSERVED_BY_MILLIS).isEmpty()).isTrue();
	}

	// Guards against an entry that starts later and holds a sound part responsible, since
	// it
	// knows the crashes alone.
	@Test
	void successesOnThePartsOfCrashesAreTold() {
		crashFourTimes(0, prompt("a", "all", "bad"));
		this.parts.recordSuccess(prompt("a", "all", "sound"), 350, 400);
		crashFourTimes(500, prompt("a", "all", "worse"));
		SuspectParts other = create();
		other.handleObservations(this.parts.observations(10_000, 900), 900);
		assertThat(other.remainingQuarantineMillis(prompt("a", "all", "bad"), 900).isPresent()).isTrue();
		assertThat(other.remainingQuarantineMillis(prompt("a", "all", "worse"), 900).isPresent()).isTrue();
		assertThat(other.remainingQuarantineMillis(prompt("a", "all", "sound"), 900).isEmpty()).isTrue();
	}

	// An entry that starts later must learn of a quarantine, however old its crashes are.
	@Test
	void crashesOfAQuarantineAreKeptAndTold() {
		crashFourTimes(0, prompt("a", "bad"));
		crash(60_400, prompt("a", "bad"));
		crash(300_500, prompt("a", "bad"));
		crash(1_260_600, prompt("a", "bad"));
		crash(1_260_700, prompt("a", "unrelated"));
		long now = 1_900_000;
		SuspectParts other = create();
		other.handleObservations(this.parts.observations(10_000, now), now);
		assertThat(other.remainingQuarantineMillis(prompt("a", "bad"), now).getAsLong())
			.isEqualTo(1_260_600 + 3_600_000 - now);
	}

	@Test
	void unattributedCrashesAreForgotten() {
		crash(0, prompt("a", "x"));
		crash(100, prompt("a", "x"));
		crash(200, prompt("a", "x"));
		this.parts.observations(10_000, 600_201);
		crash(600_300, prompt("a", "x"));
		assertThat(remaining(prompt("a", "x"), 600_300).isEmpty()).isTrue();
	}

	@Test
	void boundsTheNumberOfCrashesButKeepsThoseOfAQuarantine() {
		crashFourTimes(0, prompt("a", "bad"));
		for (int i = 0; i < 2 * SuspectParts.MAX_CRASHES; i++) {
			crash(1_000 + i, prompt("a", "u" + i));
		}
		assertThat(this.parts.observations(Long.MAX_VALUE, 5_000)).hasSize(SuspectParts.MAX_CRASHES);
		assertThat(this.parts.groupsOf(prompt("a", "bad"))).hasSize(1);
	}

	// Guards against long prompts that exhaust the memory or the processor of an entry.
	@Test
	void boundsThePartsOfCrashesButKeepsThoseOfAQuarantine() {
		crashFourTimes(0, prompt("a", "bad"));
		for (int i = 0; i < 100; i++) {
			crash(1_000 + i, longPrompts(i));
		}
		long parts = this.parts.observations(Long.MAX_VALUE, 2_000)
			.stream()
			.map(PartObservation.Crash.class::cast)
			.flatMap((c) -> c.suspects().stream())
			.mapToLong((s) -> s.parts().size())
			.sum();
		assertThat(parts).isAtMost(16_384);
		assertThat(this.parts.groupsOf(prompt("a", "bad"))).hasSize(1);
	}

	@Test
	void promptWithoutSharedPartsIsNeverSuspect() {
		assertThat(PromptPartDigests.of("a", "s", List.of("only")).parts()).isEmpty();
		assertThat(PromptPartDigests.of("a", "s", List.of()).parts()).isEmpty();
		List<String> many = IntStream.range(0, 1_000).mapToObj(Integer::toString).toList();
		assertThat(PromptPartDigests.of("a", "s", many).parts()).hasSize(PromptPartDigests.MAX_PARTS);
		crashFourTimes(0, PromptPartDigests.of("a", "s", List.of("only")));
		assertThat(this.observed).isEmpty();
	}

	private SuspectParts create() {
		return new SuspectParts(PartSettings.defaults(), (g) -> 0, new Recorder());
	}

	// Prompts of 30 parts each that no other prompt has.
	private static PromptPartDigests[] longPrompts(int crash) {
		return IntStream.range(0, 32)
			.mapToObj((prompt) -> prompt("a",
					IntStream.range(0, 30)
						.mapToObj((part) -> crash + "-" + prompt + "-" + part)
						.toArray(String[]::new)))
			.toArray(PromptPartDigests[]::new);
	}

	private void crashFourTimes(long from, PromptPartDigests prompt) {
		for (int i = 0; i < 4; i++) {
			crash(from + i * 100, prompt);
		}
	}

	private void crash(long at, PromptPartDigests... prompts) {
		this.parts.recordCrash(TargetIncarnation.of("t" + this.crashes++), at, List.of(prompts), at);
	}

	private OptionalLong remaining(PromptPartDigests prompt, long now) {
		return this.parts.remainingQuarantineMillis(prompt, now);
	}

	// A prompt with a last part of its own.
	private static PromptPartDigests prompt(String account, String... shared) {
		return PromptPartDigests.of(account, "s", Stream.concat(Stream.of(shared), Stream.of(OWN)).toList());
	}

	private final class Recorder implements SuspectPartsListener {

		@Override
		public void observed(PartObservation observation, long now) {
			SuspectPartsTests.this.observed.add(observation.olderBy(Math.max(0, OBSERVED_BY_MILLIS - now)));
		}

		@Override
		public void quarantined(SuspectPartGroup group, long now) {
			SuspectPartsTests.this.quarantined.add(group);
		}

		@Override
		public void cleared(SuspectPartGroup group, long now) {
			SuspectPartsTests.this.cleared.add(group);
		}

	}

}
