package dev.laneworks.core.directory;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetDirectory}.
 */
class TargetDirectoryTests {

	private final List<String> heard = new ArrayList<>();

	private final Timers timers = new Timers();

	private final Evacuations evacuations = new Evacuations(new EvacuationRecorder());

	private final TargetDirectory directory = new TargetDirectory(new Recorder(), this.evacuations, this.timers);

	@Test
	void aTargetThatSaysItLeavesTakesNoWorkAndIsTold() {
		this.directory.put(target("a", false));
		assertThat(this.directory.takesWork("a")).isTrue();
		this.directory.put(target("a", true));
		assertThat(this.directory.takesWork("a")).isFalse();
		assertThat(this.directory.serving("s")).isEmpty();
		this.directory.remove("a", 0);
		assertThat(this.heard).containsExactly("joined a", "leaving a SAID_SO", "gone a").inOrder();
	}

	@Test
	void aTargetThatIsLeavingDoesNotComeBackByALateEntry() {
		this.directory.put(target("a", true));
		this.directory.put(target("a", false));
		assertThat(this.directory.takesWork("a")).isFalse();
	}

	@Test
	void aVanishedEntryIsANotice() {
		this.directory.put(target("a", false));
		this.directory.remove("a", 10_000);
		assertThat(this.heard).containsExactly("joined a", "leaving a VANISHED", "gone a").inOrder();
	}

	@Test
	void anEntryThatLapsedWhileTheListWasAwayMayComeBack() {
		this.directory.put(target("a", false));
		this.directory.put(target("b", false));
		this.directory.regained(1_000);
		this.directory.remove("a", 1_100);
		this.directory.remove("b", 1_100);
		assertThat(this.directory.takesWork("a")).isTrue();
		this.directory.put(target("a", false));
		assertThat(this.directory.lapsed()).isEqualTo(1);
		this.timers.run(this.timers.nextDue());
		assertThat(this.directory.takesWork("a")).isTrue();
		assertThat(this.directory.takesWork("b")).isFalse();
		assertThat(this.heard).containsExactly("joined a", "joined b", "leaving b LAPSED", "gone b").inOrder();
		assertThat(this.directory.lapsed()).isEqualTo(0);
	}

	@Test
	void aReturnThatIsHeardTwiceIsOne() {
		this.directory.put(target("a", false));
		this.directory.regained(1_000);
		this.directory.regained(1_700);
		this.directory.remove("a", 2_801);
		assertThat(this.heard).containsExactly("joined a", "leaving a VANISHED", "gone a").inOrder();
	}

	@Test
	void aTargetListedAtTheAddressOfAnotherEndsThatOne() {
		this.directory.put(target("a", false));
		this.directory.put(at("10.0.0.1", "b"));
		assertThat(this.directory.takesWork("a")).isFalse();
		assertThat(this.directory.takesWork("b")).isTrue();
		this.directory.put(target("a", false));
		assertThat(this.directory.takesWork("a")).isFalse();
		assertThat(this.directory.takesWork("b")).isTrue();
		assertThat(this.heard).containsExactly("joined a", "leaving a ADDRESS_TAKEN", "joined b").inOrder();
	}

	/**
	 * In a run of the whole system an entry that was written late brought an ended target
	 * back to the list, at an address where another one had joined 2.8 s before: that one
	 * counted as ended and took no work to the end, and requests went to the former one
	 * until each entry had been refused.
	 */
	@Test
	void aLateEntryOfATargetThatIsGoneDoesNotEndTheOneAtItsAddress() {
		this.directory.put(target("a", false));
		this.directory.remove("a", 10_000);
		this.directory.put(at("10.0.0.1", "b"));
		this.directory.put(target("a", false));
		assertThat(this.directory.takesWork("b")).isTrue();
		assertThat(this.directory.takesWork("a")).isFalse();
		this.directory.remove("a", 20_000);
		assertThat(this.directory.takesWork("b")).isTrue();
	}

	@Test
	void ofTwoThatWereGoneTheOneThatWentLaterIsAtTheAddress() {
		this.directory.put(target("a", false));
		this.directory.remove("a", 10_000);
		this.directory.put(at("10.0.0.1", "b"));
		this.directory.remove("b", 20_000);
		this.directory.put(target("a", false));
		this.directory.put(at("10.0.0.1", "b"));
		assertThat(this.directory.takesWork("b")).isTrue();
		assertThat(this.directory.takesWork("a")).isFalse();
	}

	@Test
	void aListReadAnewEndsOnlyTheTargetThatWasKnownBeforeTheOtherAtItsAddress() {
		this.directory.put(target("b", false));
		this.directory.replaceAll(listings(at("10.0.0.2", "a"), target("b", false)), 10);
		assertThat(this.directory.takesWork("a")).isTrue();
		assertThat(this.directory.takesWork("b")).isFalse();
	}

	@Test
	void aListReadAnewDropsWhatIsMissing() {
		this.directory.put(target("a", false));
		this.directory.put(target("b", false));
		this.directory.replaceAll(listings(target("b", false), target("c", false)), 50_000);
		assertThat(this.directory.serving("s").stream().map(ListedTarget::id).toList()).containsExactly("b", "c");
	}

	@Test
	void aTargetThatRefusesForBeingAnotherIsLeaving() {
		this.directory.put(target("a", false));
		this.directory.refusedWork(TargetRun.of("a"));
		this.directory.refusedWork(TargetRun.of("a"));
		assertThat(this.directory.takesWork("a")).isFalse();
		assertThat(this.heard).containsExactly("joined a", "leaving a REFUSED").inOrder();
	}

	private static ListedTarget target(String id, boolean leaving) {
		return new ListedTarget(id, "s", "10.0.0." + (id.charAt(0) - 'a' + 1), 80, "dc", 4, leaving);
	}

	private static ListedTarget at(String host, String id) {
		return new ListedTarget(id, "s", host, 80, "dc", 4, false);
	}

	@Test
	void targetsOfAnEvacuatedDataCentreTakeNoWorkAndStay() {
		this.directory.put(target("a", false));
		this.evacuations.begin("dc");
		assertThat(this.directory.takesWork("a")).isFalse();
		assertThat(this.directory.isStaying("a")).isTrue();
		assertThat(this.directory.serving("s")).isEmpty();
		this.directory.put(target("b", false));
		assertThat(this.directory.takesWork("b")).isFalse();
		assertThat(this.directory.staying("s")).hasSize(2);
		this.evacuations.end("dc");
		assertThat(this.directory.takesWork("a")).isTrue();
		assertThat(this.heard).containsExactly("joined a", "evacuated dc", "joined b", "taken back dc").inOrder();
	}

	@Test
	void aTargetThatLeavesWhileItsDataCentreIsEvacuatedIsNoticed() {
		this.directory.put(target("a", false));
		this.evacuations.begin("dc");
		this.directory.put(target("a", true));
		this.evacuations.end("dc");
		assertThat(this.directory.takesWork("a")).isFalse();
		assertThat(this.heard).contains("leaving a SAID_SO");
	}

	@Test
	void evacuationsReadAnewReplaceThoseKnown() {
		this.evacuations.replaceAll(List.of("dc", "dc2"));
		this.evacuations.replaceAll(List.of("dc2", "dc3"));
		assertThat(this.evacuations.count()).isEqualTo(2);
		this.evacuations.begin("dc2");
		assertThat(this.heard).containsExactly("evacuated dc", "evacuated dc2", "taken back dc", "evacuated dc3");
	}

	private static List<Listing> listings(ListedTarget... targets) {
		return Stream.of(targets).map((t) -> new Listing(t, Listing.UNKNOWN_REVISION)).toList();
	}

	private final class EvacuationRecorder implements EvacuationListener {

		@Override
		public void evacuated(String dataCentre) {
			TargetDirectoryTests.this.heard.add("evacuated " + dataCentre);
		}

		@Override
		public void takenBack(String dataCentre) {
			TargetDirectoryTests.this.heard.add("taken back " + dataCentre);
		}

	}

	private final class Recorder implements DirectoryListener {

		@Override
		public void listed(ListedTarget target) {
			// Each entry put here is listed.
		}

		@Override
		public void joined(ListedTarget target) {
			TargetDirectoryTests.this.heard.add("joined " + target.id());
		}

		@Override
		public void leaving(ListedTarget target, LeavingCause cause) {
			TargetDirectoryTests.this.heard.add("leaving " + target.id() + ' ' + cause);
		}

		@Override
		public void gone(ListedTarget target) {
			TargetDirectoryTests.this.heard.add("gone " + target.id());
		}

	}

}
