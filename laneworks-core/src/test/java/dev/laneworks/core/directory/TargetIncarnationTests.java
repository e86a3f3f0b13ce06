package dev.laneworks.core.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetDirectory} with targets that restart under the same id.
 */
class TargetIncarnationTests {

	private static final long FIRST = 1_700_000_000_000L;

	private static final long SECOND = FIRST + 60_000;

	private final List<String> events = new ArrayList<>();

	private final Timers timers = new Timers();

	private final Evacuations evacuations = new Evacuations(new FailingEvacuationListener());

	private final TargetDirectory directory = new TargetDirectory(new RecordingListener(), this.evacuations,
			this.timers);

	@Test
	void aNewIncarnationReplacesTheFormerOne() {
		putListing(FIRST, false, 5);
		putListing(SECOND, false, 6);
		assertThat(this.events)
			.containsExactly("joined a/0", "leaving a/0 STARTED_AGAIN, known a/60000", "gone a/0", "joined a/60000")
			.inOrder();
		assertThat(this.directory.acceptsRequests(target(FIRST, false))).isFalse();
		assertThat(this.directory.isAvailable(target(FIRST, false))).isFalse();
		assertThat(this.directory.isFormerIncarnation(target(FIRST, false))).isTrue();
		assertThat(this.directory.acceptsRequests(target(SECOND, false))).isTrue();
		assertThat(this.directory.isFormerIncarnation(target(SECOND, false))).isFalse();
	}

	@Test
	void theEntryOfANewIncarnationIsReportedBeforeTheFormerOneEnds() {
		this.directory.put(new TargetListing(target(FIRST, false), 5));
		this.events.clear();
		this.directory.put(new TargetListing(new ListedTarget("a", "s", "10.0.0.1", 80, "dc", 4, false,
				OptionalLong.of(700), OptionalLong.of(SECOND)), 6));
		assertThat(this.events.get(0)).isEqualTo("cold a/60000 700");
	}

	@Test
	void aNewIncarnationOfADrainingTargetAcceptsRequests() {
		putListing(FIRST, false, 5);
		putListing(FIRST, true, 6);
		putListing(SECOND, false, 7);
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.events)
			.containsExactly("joined a/0", "leaving a/0 SAID_SO, known a/0", "gone a/0", "joined a/60000")
			.inOrder();
	}

	@Test
	void reportsTheDrainingOfEachIncarnation() {
		putListing(FIRST, true, 5);
		putListing(SECOND, false, 6);
		putListing(SECOND, true, 7);
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.events).contains("leaving a/60000 SAID_SO, known a/60000");
	}

	@Test
	void aLateEntryOfAFormerIncarnationIsIgnored() {
		putListing(SECOND, false, 9);
		putListing(FIRST, false, 5);
		putListing(FIRST, true, 6);
		this.directory.remove("a", 7, 50_000);
		assertThat(this.directory.acceptsRequests(target(SECOND, false))).isTrue();
		assertThat(this.events).containsExactly("joined a/60000");
	}

	@Test
	void aLateEntryDoesNotRestoreAnEndedIncarnation() {
		putListing(FIRST, false, 5);
		putListing(SECOND, false, 6);
		this.directory.remove("a", 8, 50_000);
		putListing(SECOND, false, 7);
		putListing(FIRST, false, 5);
		assertThat(this.directory.size()).isEqualTo(0);
	}

	@Test
	void anOutdatedReadDoesNotRestoreAFormerIncarnation() {
		putListing(FIRST, false, 5);
		putListing(SECOND, false, 6);
		this.directory.replaceAll(List.of(new TargetListing(target(FIRST, false), 5)), 50_000);
		assertThat(this.directory.acceptsRequests(target(SECOND, false))).isTrue();
	}

	@Test
	void aNewerIncarnationMayHaveAnEarlierStartTime() {
		putListing(SECOND, false, 5);
		putListing(FIRST, false, 6);
		assertThat(this.directory.acceptsRequests(target(FIRST, false))).isTrue();
		assertThat(this.directory.acceptsRequests(target(SECOND, false))).isFalse();
	}

	@Test
	void anEntryWithoutARevisionCountsAsNewestOnArrival() {
		putListing(FIRST, false, 6);
		putListing(SECOND, false, TargetListing.UNKNOWN_REVISION);
		assertThat(this.directory.acceptsRequests(target(SECOND, false))).isTrue();
		putListing(FIRST, false, 5);
		assertThat(this.directory.acceptsRequests(target(SECOND, false))).isTrue();
		putListing(FIRST, false, 7);
		assertThat(this.directory.acceptsRequests(target(FIRST, false))).isTrue();
	}

	@Test
	void anEntryWithoutAStartTimeBelongsToTheKnownIncarnation() {
		putListing(FIRST, false, 5);
		this.directory.put(new TargetListing(target(FIRST, true).withStartMillis(OptionalLong.empty()), 6));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.isAvailable(target(FIRST, true))).isFalse();
		assertThat(this.directory.isFormerIncarnation(target(FIRST, true))).isFalse();
		assertThat(this.events).containsExactly("joined a/0", "leaving a/0 SAID_SO, known a/0").inOrder();
	}

	@Test
	void reportsOfAFormerIncarnationDoNotAffectTheNewOne() {
		putListing(FIRST, false, 5);
		putListing(SECOND, false, 6);
		this.directory.requestRejected(TargetIncarnation.of("a", FIRST));
		this.directory.drainingReported(TargetIncarnation.of("a", FIRST));
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		this.directory.drainingReported(TargetIncarnation.of("a", SECOND));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
	}

	@Test
	void theExpiryOfAFormerEntryDoesNotAffectTheNewIncarnation() {
		putListing(FIRST, false, 5);
		this.directory.storeReachable(1_000);
		this.directory.remove("a", 6, 1_100);
		putListing(SECOND, false, 7);
		this.timers.run(this.timers.nextDue());
		assertThat(this.directory.acceptsRequests(target(SECOND, false))).isTrue();
	}

	@Test
	void aNewIncarnationAtTheAddressOfAnotherTargetReplacesIt() {
		putListing(FIRST, false, 5);
		ListedTarget other = new ListedTarget("b", "s", "10.0.0.2", 80, "dc", 4, false);
		this.directory.put(new TargetListing(other, 6));
		this.directory.put(new TargetListing(new ListedTarget("a", "s", "10.0.0.2", 80, "dc", 4, false,
				OptionalLong.empty(), OptionalLong.of(SECOND)), 7));
		assertThat(this.directory.acceptsRequests("b")).isFalse();
		assertThat(this.directory.acceptsRequests("a")).isTrue();
	}

	@Test
	void aLateEntryDoesNotReplaceTheCurrentTargetAtItsAddress() {
		putListing(FIRST, false, 9);
		this.directory.put(new TargetListing(new ListedTarget("former", "s", "10.0.0.1", 80, "dc", 4, false), 5));
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.directory.acceptsRequests("former")).isFalse();
		this.directory.remove("former", 8, 50_000);
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.directory.size()).isEqualTo(1);
	}

	private void putListing(long startMillis, boolean isDraining, long revision) {
		this.directory.put(new TargetListing(target(startMillis, isDraining), revision));
	}

	private static ListedTarget target(long startMillis, boolean isDraining) {
		return new ListedTarget("a", "s", "10.0.0.1", 80, "dc", 4, isDraining, OptionalLong.empty(),
				OptionalLong.of(startMillis));
	}

	private static String text(ListedTarget target) {
		return target.id() + '/' + (target.startMillis().orElse(FIRST) - FIRST);
	}

	private static final class FailingEvacuationListener implements EvacuationListener {

		@Override
		public void evacuated(String dataCentre) {
			throw new AssertionError("nothing is evacuated here");
		}

		@Override
		public void evacuationEnded(String dataCentre) {
			throw new AssertionError("nothing is evacuated here");
		}

	}

	private final class RecordingListener implements DirectoryListener {

		@Override
		public void listed(ListedTarget target) {
			target.coldMillis()
				.ifPresent((c) -> TargetIncarnationTests.this.events.add("cold " + text(target) + ' ' + c));
		}

		@Override
		public void joined(ListedTarget target) {
			TargetIncarnationTests.this.events.add("joined " + text(target));
		}

		@Override
		public void draining(ListedTarget target, DrainingCause cause) {
			String known = TargetIncarnationTests.this.directory.find(target.id())
				.map(TargetIncarnationTests::text)
				.orElse("");
			TargetIncarnationTests.this.events.add("leaving " + text(target) + ' ' + cause + ", known " + known);
		}

		@Override
		public void gone(ListedTarget target) {
			TargetIncarnationTests.this.events.add("gone " + text(target));
		}

	}

}
