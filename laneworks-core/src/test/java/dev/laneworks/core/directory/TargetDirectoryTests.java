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

	private final List<String> events = new ArrayList<>();

	private final Timers timers = new Timers();

	private final Evacuations evacuations = new Evacuations(new RecordingEvacuationListener());

	private final TargetDirectory directory = new TargetDirectory(new RecordingListener(), this.evacuations,
			this.timers);

	@Test
	void reportsATargetThatStartsDraining() {
		this.directory.put(target("a", false));
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		this.directory.put(target("a", true));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.serving("s")).isEmpty();
		this.directory.remove("a", 0);
		assertThat(this.events).containsExactly("joined a", "leaving a SAID_SO", "gone a").inOrder();
	}

	@Test
	void aLateEntryDoesNotEndTheDrainingOfATarget() {
		this.directory.put(target("a", true));
		this.directory.put(target("a", false));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
	}

	@Test
	void reportsATargetWhoseEntryIsRemoved() {
		this.directory.put(target("a", false));
		this.directory.remove("a", 10_000);
		assertThat(this.events).containsExactly("joined a", "leaving a VANISHED", "gone a").inOrder();
	}

	@Test
	void anEntryThatExpiredDuringAnOutageMayReturn() {
		this.directory.put(target("a", false));
		this.directory.put(target("b", false));
		this.directory.storeReachable(1_000);
		this.directory.remove("a", 1_100);
		this.directory.remove("b", 1_100);
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		this.directory.put(target("a", false));
		assertThat(this.directory.expiredCount()).isEqualTo(1);
		this.timers.run(this.timers.nextDue());
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.directory.acceptsRequests("b")).isFalse();
		assertThat(this.events).containsExactly("joined a", "joined b", "leaving b LAPSED", "gone b").inOrder();
		assertThat(this.directory.expiredCount()).isEqualTo(0);
	}

	@Test
	void aSecondReportOfARecoveryDoesNotExtendItsWindow() {
		this.directory.put(target("a", false));
		this.directory.storeReachable(1_000);
		this.directory.storeReachable(1_700);
		this.directory.remove("a", 2_801);
		assertThat(this.events).containsExactly("joined a", "leaving a VANISHED", "gone a").inOrder();
	}

	@Test
	void aTargetListedAtTheAddressOfAnotherReplacesIt() {
		this.directory.put(target("a", false));
		this.directory.put(at("10.0.0.1", "b"));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.acceptsRequests("b")).isTrue();
		this.directory.put(target("a", false));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.acceptsRequests("b")).isTrue();
		assertThat(this.events).containsExactly("joined a", "leaving a ADDRESS_TAKEN", "joined b").inOrder();
	}

	/**
	 * Guards against a late list entry of an ended target that reclaims its address from
	 * the current one, which would receive no requests.
	 */
	@Test
	void aLateEntryOfAnEndedTargetDoesNotReplaceTheOneAtItsAddress() {
		this.directory.put(target("a", false));
		this.directory.remove("a", 10_000);
		this.directory.put(at("10.0.0.1", "b"));
		this.directory.put(target("a", false));
		assertThat(this.directory.acceptsRequests("b")).isTrue();
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		this.directory.remove("a", 20_000);
		assertThat(this.directory.acceptsRequests("b")).isTrue();
	}

	@Test
	void ofTwoEndedTargetsTheOneThatEndedLaterHoldsTheAddress() {
		this.directory.put(target("a", false));
		this.directory.remove("a", 10_000);
		this.directory.put(at("10.0.0.1", "b"));
		this.directory.remove("b", 20_000);
		this.directory.put(target("a", false));
		this.directory.put(at("10.0.0.1", "b"));
		assertThat(this.directory.acceptsRequests("b")).isTrue();
		assertThat(this.directory.acceptsRequests("a")).isFalse();
	}

	@Test
	void aNewReadReplacesOnlyTheTargetKnownAtTheAddressBefore() {
		this.directory.put(target("b", false));
		this.directory.replaceAll(listings(at("10.0.0.2", "a"), target("b", false)), 10);
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.directory.acceptsRequests("b")).isFalse();
	}

	@Test
	void aNewReadRemovesMissingTargets() {
		this.directory.put(target("a", false));
		this.directory.put(target("b", false));
		this.directory.replaceAll(listings(target("b", false), target("c", false)), 50_000);
		assertThat(this.directory.serving("s").stream().map(ListedTarget::id).toList()).containsExactly("b", "c");
	}

	@Test
	void reportsOnceThatATargetRejectedARequest() {
		this.directory.put(target("a", false));
		this.directory.requestRejected(TargetIncarnation.of("a"));
		this.directory.requestRejected(TargetIncarnation.of("a"));
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.events).containsExactly("joined a", "leaving a REFUSED").inOrder();
	}

	private static ListedTarget target(String id, boolean leaving) {
		return new ListedTarget(id, "s", "10.0.0." + (id.charAt(0) - 'a' + 1), 80, "dc", 4, leaving);
	}

	private static ListedTarget at(String host, String id) {
		return new ListedTarget(id, "s", host, 80, "dc", 4, false);
	}

	@Test
	void targetsOfAnEvacuatedDataCentreAcceptNoRequestsAndStay() {
		this.directory.put(target("a", false));
		this.evacuations.begin("dc");
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.directory.isAvailable("a")).isTrue();
		assertThat(this.directory.serving("s")).isEmpty();
		this.directory.put(target("b", false));
		assertThat(this.directory.acceptsRequests("b")).isFalse();
		assertThat(this.directory.available("s")).hasSize(2);
		this.evacuations.end("dc");
		assertThat(this.directory.acceptsRequests("a")).isTrue();
		assertThat(this.events).containsExactly("joined a", "evacuated dc", "joined b", "taken back dc").inOrder();
	}

	@Test
	void reportsATargetThatStartsDrainingDuringAnEvacuation() {
		this.directory.put(target("a", false));
		this.evacuations.begin("dc");
		this.directory.put(target("a", true));
		this.evacuations.end("dc");
		assertThat(this.directory.acceptsRequests("a")).isFalse();
		assertThat(this.events).contains("leaving a SAID_SO");
	}

	@Test
	void aNewReadReplacesAllEvacuations() {
		this.evacuations.replaceAll(List.of("dc", "dc2"));
		this.evacuations.replaceAll(List.of("dc2", "dc3"));
		assertThat(this.evacuations.count()).isEqualTo(2);
		this.evacuations.begin("dc2");
		assertThat(this.events).containsExactly("evacuated dc", "evacuated dc2", "taken back dc", "evacuated dc3");
	}

	private static List<TargetListing> listings(ListedTarget... targets) {
		return Stream.of(targets).map((t) -> new TargetListing(t, TargetListing.UNKNOWN_REVISION)).toList();
	}

	private final class RecordingEvacuationListener implements EvacuationListener {

		@Override
		public void evacuated(String dataCentre) {
			TargetDirectoryTests.this.events.add("evacuated " + dataCentre);
		}

		@Override
		public void evacuationEnded(String dataCentre) {
			TargetDirectoryTests.this.events.add("taken back " + dataCentre);
		}

	}

	private final class RecordingListener implements DirectoryListener {

		@Override
		public void listed(ListedTarget target) {
			// Not recorded.
		}

		@Override
		public void joined(ListedTarget target) {
			TargetDirectoryTests.this.events.add("joined " + target.id());
		}

		@Override
		public void draining(ListedTarget target, DrainingCause cause) {
			TargetDirectoryTests.this.events.add("leaving " + target.id() + ' ' + cause);
		}

		@Override
		public void gone(ListedTarget target) {
			TargetDirectoryTests.this.events.add("gone " + target.id());
		}

	}

}
