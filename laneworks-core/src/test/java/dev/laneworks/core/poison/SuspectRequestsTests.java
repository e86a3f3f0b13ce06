package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import dev.laneworks.core.directory.TargetIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SuspectRequests}.
 */
class SuspectRequestsTests {

	private static final RequestDigest DIGEST = new RequestDigest(1, 2, 3);

	private static final RequestDigest OTHER = new RequestDigest(1, 2, 4);

	private final List<String> events = new ArrayList<>();

	private final SuspectRequests suspects = new SuspectRequests(PoisonSettings.defaults(), new Listener());

	@Test
	void threeCrashesQuarantineOnlyTheirRequest() {
		crash(DIGEST, "a", 0);
		crash(DIGEST, "b", 10);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 20)).isEqualTo(OptionalLong.empty());
		crash(DIGEST, "c", 30);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 30).getAsLong()).isEqualTo(600_000);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 600_029).getAsLong()).isEqualTo(1);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 600_030)).isEqualTo(OptionalLong.empty());
		assertThat(this.suspects.remainingQuarantineMillis(OTHER, 30)).isEqualTo(OptionalLong.empty());
		assertThat(this.events).containsExactly("ended 1", "ended 2", "ended 3", "quarantined").inOrder();
	}

	// Several calls with the same content may run at one target, and several entries
	// observe its crash.
	@Test
	void crashOfAnIncarnationCountsOnce() {
		crash(DIGEST, "a", 0);
		crash(DIGEST, "a", 10);
		this.suspects.handleReport(report(List.of("a"), 0, OptionalLong.empty()), 20);
		assertThat(this.suspects.crashedTargets(DIGEST)).containsExactly(TargetIncarnation.of("a"));
	}

	@Test
	void crashesOfSeveralIncarnationsOfOneTargetCount() {
		for (long start = 1; start <= 3; start++) {
			this.suspects.recordCrash(DIGEST, TargetIncarnation.of("a", start), start, start);
		}
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 3).isPresent()).isTrue();
	}

	@Test
	void completionClearsEarlierCrashes() {
		crash(DIGEST, "a", 0);
		crash(DIGEST, "b", 10);
		assertThat(this.suspects.recordCompletion(DIGEST, 20)).isTrue();
		assertThat(this.suspects.recordCompletion(DIGEST, 21)).isFalse();
		crash(DIGEST, "c", 30);
		crash(DIGEST, "d", 40);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 40)).isEqualTo(OptionalLong.empty());
	}

	// Guards against a long quarantine of a harmless request that is hit by unrelated
	// crashes.
	@Test
	void requestThatCompletedBeforeNeedsMoreCrashesAndStartsWithAShortQuarantine() {
		this.suspects.recordCompletion(DIGEST, 0);
		for (int i = 0; i < 5; i++) {
			crash(DIGEST, "a" + i, 100);
		}
		assertThat(this.suspects.remainingCrashes(DIGEST)).isEqualTo(1);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 100)).isEqualTo(OptionalLong.empty());
		crash(DIGEST, "b", 100);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 100).getAsLong()).isEqualTo(2_000);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 2_100)).isEqualTo(OptionalLong.empty());
		crash(DIGEST, "c", 3_000);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 3_000).getAsLong()).isEqualTo(4_000);
		for (int i = 0; i < 20; i++) {
			crash(DIGEST, "more" + i, 4_000);
		}
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 4_000).getAsLong()).isEqualTo(128_000);
	}

	// Guards against a digest of zeros that matches an empty slot.
	@Test
	void zeroDigestDoesNotCountAsCompleted() {
		RequestDigest zeroDigest = new RequestDigest(0, 0, 0);
		crash(zeroDigest, "a", 0);
		crash(zeroDigest, "b", 0);
		crash(zeroDigest, "c", 0);
		assertThat(this.suspects.remainingQuarantineMillis(zeroDigest, 0).getAsLong()).isEqualTo(600_000);
	}

	@Test
	void crashesReportedByOthersCount() {
		crash(DIGEST, "a", 1_000);
		this.suspects.handleReport(report(List.of("b", "c"), 500, OptionalLong.empty()), 1_000);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 1_000).getAsLong()).isEqualTo(600_000);
	}

	@Test
	void completionInAReportIsAppliedBeforeItsCrashes() {
		this.suspects.handleReport(report(List.of("a", "b", "c"), 500, OptionalLong.of(100)), 1_000);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 1_000)).isEqualTo(OptionalLong.empty());
		assertThat(this.events).doesNotContain("quarantined");
	}

	@Test
	void ignoresExpiredReports() {
		this.suspects.handleReport(report(List.of("a", "b", "c"), 600_001, OptionalLong.empty()), 700_000);
		assertThat(this.suspects.crashedTargets(DIGEST)).isEmpty();
	}

	@Test
	void evictionKeepsQuarantinedRequests() {
		crash(DIGEST, "a", 0);
		crash(DIGEST, "b", 0);
		crash(DIGEST, "c", 0);
		for (int i = 0; i < 3 * SuspectRequests.MAX_SUSPECTS; i++) {
			crash(new RequestDigest(9, 9, i), "x" + i, i);
		}
		assertThat(this.suspects.size()).isEqualTo(SuspectRequests.MAX_SUSPECTS);
		assertThat(this.suspects.remainingQuarantineMillis(DIGEST, 20_000).isPresent()).isTrue();
		for (int i = 0; i < 2 * SuspectRequests.MAX_SUSPECTS; i++) {
			RequestDigest harmful = new RequestDigest(8, 8, i);
			crash(harmful, "a", 20_000 + i);
			crash(harmful, "b", 20_000 + i);
			crash(harmful, "c", 20_000 + i);
		}
		assertThat(this.suspects.size()).isEqualTo(SuspectRequests.MAX_SUSPECTS);
	}

	@Test
	void reportsOmitOldSingleCrashes() {
		crash(OTHER, "a", 0);
		crash(DIGEST, "a", 0);
		crash(DIGEST, "b", 0);
		assertThat(digests(5_000, 10, 4_000)).containsExactly(OTHER, DIGEST);
		assertThat(digests(5_000, 10, 6_000)).containsExactly(DIGEST);
		assertThat(digests(5_000, 0, 6_000)).isEmpty();
		assertThat(digests(5_000, 10, 700_000)).isEmpty();
		assertThat(this.suspects.size()).isEqualTo(0);
	}

	private List<RequestDigest> digests(long recentMillis, int limit, long now) {
		return this.suspects.reports(recentMillis, limit, now).stream().map(SuspectReport::digest).toList();
	}

	private void crash(RequestDigest digest, String target, long now) {
		this.suspects.recordCrash(digest, TargetIncarnation.of(target), now, now);
	}

	private static SuspectReport report(List<String> ends, long ageMillis, OptionalLong completionAgeMillis) {
		return new SuspectReport(DIGEST,
				ends.stream().map((e) -> new TargetCrash(TargetIncarnation.of(e), ageMillis)).toList(),
				completionAgeMillis);
	}

	private final class Listener implements SuspectListener {

		@Override
		public void crashed(RequestDigest digest, TargetIncarnation incarnation, int ends, long now) {
			SuspectRequestsTests.this.events.add("ended " + ends);
		}

		@Override
		public void quarantined(RequestDigest digest, long now) {
			SuspectRequestsTests.this.events.add("quarantined");
		}

		@Override
		public void cleared(RequestDigest digest, long now) {
			SuspectRequestsTests.this.events.add("cleared");
		}

	}

}
