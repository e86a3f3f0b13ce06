package dev.laneworks.core.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link StoreFollower}.
 */
class StoreFollowerTests {

	private static final FollowSettings SETTINGS = new FollowSettings(4_000, 700, 60);

	private final List<String> calls = new ArrayList<>();

	private final List<String> events = new ArrayList<>();

	private final List<StoreChange> missed = new ArrayList<>();

	private final List<String> behindReports = new ArrayList<>();

	private final List<String> restarts = new ArrayList<>();

	/** When the store was reported to be back after an outage of its own. */
	private final List<Long> returns = new ArrayList<>();

	private boolean listenerFails;

	private final Timers timers = new Timers();

	private long lastCall;

	private final List<StoreUpdate> sent = new ArrayList<>();

	private final List<StoreUpdate> sentToOtherGroups = new ArrayList<>();

	private int otherCount;

	private int probes;

	private final SharedWatch watch = new SharedWatch("me", "z", () -> this.otherCount, this.sent::add,
			this.sentToOtherGroups::add);

	private final StoreFollower follower = new StoreFollower(SETTINGS, new Calls(), new Listener(), this.timers,
			new Backoff(Duration.ofMillis(100), Duration.ofMillis(800), new SplittableRandom(1)), this.watch);

	@Test
	void readsAllPagesAndWatchesFromTheFirstPagesRevision() {
		this.follower.start(0);
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), true, 100, 5);
		this.follower.pageRead(this.lastCall, List.of(item("c")), false, 120, 10);
		assertThat(this.calls).containsExactly("page ", "page b", "watch 100 4000").inOrder();
		assertThat(this.events).containsExactly("all [a, b, c]");
	}

	@Test
	void watchesFromTheRevisionOfEachAnswerAndFetchesASeriesOfChangesTogether() {
		startWatching();
		this.follower.watchAnswered(this.lastCall, List.of(change("a")), 105, 20);
		assertThat(this.events).contains("changed [a]");
		assertThat(this.calls).doesNotContain("watch 105 4000");
		this.timers.run(70);
		assertThat(this.calls).contains("watch 105 4000");
	}

	@Test
	void ignoresTheLateAnswerOfACancelledCall() {
		startWatching();
		long old = this.lastCall;
		this.timers.run(4_800);
		assertThat(this.calls).contains("abandon");
		this.follower.watchAnswered(old, List.of(change("late")), 300, 4_900);
		assertThat(this.events).doesNotContain("changed [late]");
	}

	@Test
	void reportsAnOutageOnceAndItsEndBeforeTheChanges() {
		startWatching();
		this.follower.failed(this.lastCall, "refused", 1_000);
		this.timers.run(1_200);
		this.follower.failed(this.lastCall, "refused", 1_210);
		this.timers.run(2_000);
		this.follower.watchAnswered(this.lastCall, List.of(change("x")), 130, 2_010);
		assertThat(this.events).containsExactly("all [a]", "lost refused", "regained 2005", "changed [x]").inOrder();
	}

	@Test
	void reportsEachNewCauseOfFailuresInAnOutage() {
		startWatching();
		this.follower.failed(this.lastCall, "refused", 1_000);
		this.timers.run(1_200);
		this.follower.failed(this.lastCall, "refused", 1_210);
		this.timers.run(2_000);
		this.follower.failed(this.lastCall, "too large", 2_010);
		assertThat(this.events).containsExactly("all [a]", "lost refused", "failed again too large 3").inOrder();
	}

	@Test
	void makesTheFirstWatchAfterAFailureShort() {
		startWatching();
		this.follower.failed(this.lastCall, "refused", 1_000);
		this.timers.run(1_200);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 100 60");
	}

	@Test
	void readsAllItemsAgainWhenTheHistoryIsGone() {
		startWatching();
		this.follower.historyCompacted(this.lastCall, 1_000);
		this.timers.run(1_100);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("page ");
		this.follower.pageRead(this.lastCall, List.of(item("z")), false, 500, 1_110);
		assertThat(this.events).contains("all [z]");
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 500 4000");
	}

	@Test
	void appliesAChangeReceivedDuringANewReadAndKeepsItOverOlderPages() {
		startWatching();
		this.follower.historyCompacted(this.lastCall, 1_000);
		this.timers.run(1_100);
		deliver(lowerRanked(), 99, 100, 1_110, change("a", 100));
		deliver(lowerRanked(), 503, 504, 1_120, removed("b", 504));
		assertThat(this.events).containsExactly("all [a]", "changed [b]").inOrder();
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 500, 1_130);
		assertThat(this.events.get(2)).isEqualTo("all [a]");
		assertThat(this.follower.knownItems()).containsExactly(item("a"), item("b"));
	}

	@Test
	void ignoresPagesOlderThanAnAdoptedSnapshot() {
		this.follower.start(0);
		this.follower.applySnapshot(List.of(item("a")), 120, 0, 5);
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 110, 10);
		assertThat(this.events).containsExactly("all [a]");
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 120 4000");
	}

	// Guards against going back to an older state that another process still has.
	@Test
	void ignoresASnapshotOlderThanTheItemsBeingReadAgain() {
		startWatching();
		this.follower.historyCompacted(this.lastCall, 1_000);
		this.timers.run(1_100);
		assertThat(this.follower.applySnapshot(List.of(item("old")), 99, 0, 1_110)).isFalse();
		assertThat(this.events).containsExactly("all [a]");
		assertThat(this.follower.applySnapshot(List.of(item("new")), 101, 0, 1_120)).isTrue();
		assertThat(this.events).containsExactly("all [a]", "all [new]").inOrder();
	}

	@Test
	void reportsChangesThatOnlyANewReadFound() {
		startWatching();
		deliver(lowerRanked(), 150, 160, 500, change("heard", 160));
		this.follower.historyCompacted(this.lastCall, 1_000);
		this.timers.run(1_100);
		this.follower.pageRead(this.lastCall, List.of(item("b"), item("heard")), false, 500, 1_110);
		assertThat(this.missed).containsExactly(removed("a", 500), change("b", 500)).inOrder();
	}

	@Test
	void doesNotReportAKeyAsMissedIfALaterChangeIsKnown() {
		startWatching();
		deliver(lowerRanked(), 600, 601, 500, removed("a", 601));
		this.follower.historyCompacted(this.lastCall, 1_000);
		this.timers.run(1_100);
		this.follower.pageRead(this.lastCall, List.of(item("a")), false, 500, 1_110);
		assertThat(this.missed).isEmpty();
	}

	@Test
	void reportsOnceThatItIsBehindUntilItHasCaughtUp() {
		startWatching();
		deliver(lowerRanked(), 150, 160, 500, change("x", 160));
		deliver(lowerRanked(), 170, 180, 510, change("y", 180));
		assertThat(this.behindReports).containsExactly("100 to 160");
		this.follower.watchAnswered(this.lastCall, List.of(change("x", 160), change("y", 180)), 180, 600);
		deliver(lowerRanked(), 190, 200, 700, change("z", 200));
		assertThat(this.behindReports).containsExactly("100 to 160", "caught up with 180 after 100", "180 to 200")
			.inOrder();
	}

	/**
	 * Guards against a follower that makes no further calls after its listener throws.
	 */
	// Guards against a start that waits for an answer which was lost, although the store
	// has returned.
	@Test
	void readsAgainAtOnceWhenAProbeShowsThatTheStoreIsBack() {
		this.follower.start(0);
		for (long now = 0; now <= 3_200; now += 50) {
			this.timers.run(now);
		}
		long open = this.lastCall;
		this.follower.probeAnswered(100, 3_200);
		assertThat(this.lastCall).isGreaterThan(open);
		this.follower.pageRead(this.lastCall, List.of(item("a")), false, 100, 3_210);
		assertThat(this.events).contains("all [a]");
	}

	@Test
	void readsAllItemsAgainAfterTheListenerFails() {
		startWatching();
		this.listenerFails = true;
		assertThrows(IllegalStateException.class,
				() -> this.follower.watchAnswered(this.lastCall, List.of(change("b", 101)), 101, 1_000));
		this.listenerFails = false;
		this.timers.run(3_000);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("page ");
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 101, 3_010);
		assertThat(this.events).contains("all [a, b]");
		this.listenerFails = true;
		this.timers.run(3_100);
		assertThrows(IllegalStateException.class,
				() -> this.follower.watchAnswered(this.lastCall, List.of(change("c", 102)), 102, 3_200));
		this.timers.run(6_000);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("page ");
	}

	// Guards against a watch that is repeated from the same revision after an answer was
	// too large.
	@Test
	void readsAllItemsAgainAfterAnAnswerThatIsTooLarge() {
		startWatching();
		this.follower.watchAnswerTooLarge(this.lastCall, 1_000);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("page ");
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 140, 1_010);
		assertThat(this.events).containsExactly("all [a]", "too large after 100", "all [a, b]").inOrder();
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 140 4000");
	}

	@Test
	void startsAgainFromTheFirstPageAfterAPageFails() {
		this.follower.start(0);
		this.follower.pageRead(this.lastCall, List.of(item("a")), true, 100, 5);
		this.follower.failed(this.lastCall, "reset", 10);
		this.timers.run(200);
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 130, 210);
		assertThat(this.events).contains("all [a, b]");
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 130 4000");
	}

	@Test
	void stopsWatchingForAHigherRankedWatcherAndAppliesItsUpdates() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(change("a", 101)), 101, 20);
		deliver(higherRanked(), 100, 102, 30, change("a", 101), change("b", 102));
		this.timers.run(400);
		assertThat(this.calls).containsExactly("page ", "watch 100 700");
		assertThat(this.events).containsExactly("all [a]", "changed [a]", "changed [b]").inOrder();
	}

	// Guards against a process that counts as served by a watcher whose changes did not
	// arrive, while the store rejects its own calls.
	@Test
	void doesNotLeaveTheWatchToAProcessWhoseChangesItLacks() {
		this.otherCount = 3;
		startWatching();
		for (long now = 100; now < 2_000; now += 150) {
			this.timers.run(now);
			deliver(higherRanked(), 101, 101, now);
			this.follower.failed(this.lastCall, "status 503", now + 4);
		}
		assertThat(this.events).containsExactly("all [a]", "lost status 503").inOrder();
		assertThat(this.follower.ageMillis(2_000)).isAtLeast(1_900);
		assertThat(this.follower.isStalledBehind(2_000)).isTrue();
		assertThat(this.sent.stream().filter((u) -> u.kind() == StoreUpdate.Kind.REQUEST).count()).isAtLeast(5);
	}

	@Test
	void watchesAgainWhenTheWatcherFallsSilent() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 105, 10, change("a", 105));
		this.follower.watchAnswered(this.lastCall, List.of(), 105, 20);
		this.timers.run(480);
		assertThat(this.calls).hasSize(2);
		this.timers.run(560);
		assertThat(this.calls.get(2)).isEqualTo("watch 105 700");
	}

	@Test
	void fillsAGapInTheWatchersUpdatesByACall() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(100);
		assertThat(this.calls).hasSize(2);
		deliver(higherRanked(), 103, 104, 110, change("b", 104));
		assertThat(this.calls.get(2)).isEqualTo("watch 100 700");
		this.follower.watchAnswered(this.lastCall, List.of(change("a", 102), change("b", 104)), 104, 130);
		assertThat(this.events).containsExactly("all [a]", "changed [b]", "changed [a]").inOrder();
	}

	@Test
	void keepsWatchingForLowerRankedProcessesAndSendsThemUpdates() {
		this.otherCount = 3;
		startWatching();
		deliver(lowerRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(change("a", 101)), 101, 20);
		this.timers.run(150);
		assertThat(this.calls.get(2)).isEqualTo("watch 101 700");
		assertThat(this.sent).containsExactly(
				new StoreUpdate("me", "z", 100, 101, List.of(change("a", 101)), false, StoreUpdate.Kind.READ),
				new StoreUpdate("me", "z", 101, 101, List.of(), false, StoreUpdate.Kind.READ));
	}

	@Test
	void sendsNoHeartbeatWhileItsOwnWatchIsOverdue() {
		this.otherCount = 3;
		startWatching();
		this.timers.run(850);
		this.sent.clear();
		this.timers.run(1_300);
		assertThat(this.sent).isEmpty();
	}

	// Guards against others that wait for a watcher while a large answer arrives there.
	@Test
	void sendsNoHeartbeatWhileALargeAnswerArrives() {
		this.otherCount = 3;
		startWatching();
		this.timers.run(150);
		assertThat(this.sent).hasSize(1);
		for (long now = 160; now < 700; now += 10) {
			this.follower.answerProgressed(this.lastCall, now);
			this.timers.run(now);
		}
		assertThat(this.sent).hasSize(2);
		this.follower.watchAnswered(this.lastCall, List.of(change("a", 101)), 101, 710);
		assertThat(this.sent).hasSize(3);
	}

	@Test
	void skipsKnownChanges() {
		startWatching();
		this.follower.watchAnswered(this.lastCall, List.of(change("old", 100), change("new", 101)), 101, 20);
		assertThat(this.events).contains("changed [new]");
	}

	@Test
	void watchesForItselfInASmallGroup() {
		this.otherCount = 2;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(100);
		assertThat(this.calls.get(2)).isEqualTo("watch 100 4000");
		assertThat(this.sent).isEmpty();
	}

	@Test
	void appliesUpdatesFromOthersWhileTheStoreIsUnreachable() {
		startWatching();
		this.follower.failed(this.lastCall, "rejected", 1_000);
		deliver(lowerRanked(), 100, 101, 1_010, change("a", 101));
		deliver(lowerRanked(), 101, 102, 4_000, change("b", 102));
		assertThat(this.events).containsExactly("all [a]", "lost rejected", "changed [a]", "changed [b]").inOrder();
	}

	@Test
	void reportsTheStoresReturnBeforeUpdatesFromOthersUnlessItsOwnWatchWorks() {
		startWatching();
		this.follower.updateReceived(afterOutage(100, 101, change("a", 101)), 100);
		this.follower.failed(this.lastCall, "no answer", 1_000);
		this.follower.updateReceived(afterOutage(101, 102, change("b", 102)), 5_000);
		this.follower.updateReceived(afterOutage(102, 103, change("c", 103)), 5_500);
		assertThat(this.events)
			.containsExactly("all [a]", "changed [a]", "lost no answer", "recovery reported", "changed [b]",
					"changed [c]")
			.inOrder();
	}

	// Guards against removals that are held back since another process was cut off alone.
	@Test
	void ignoresTheReturnThatOthersReportIfItHeardTheStoreMeanwhile() {
		startWatching();
		this.follower.failed(this.lastCall, "no answer", 500);
		this.follower.updateReceived(afterOutage(100, 102, change("b", 102)), 600);
		assertThat(this.events).containsExactly("all [a]", "lost no answer", "changed [b]").inOrder();
	}

	@Test
	void reportsNoReturnOfTheStoreWhileAWatcherServesIt() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		for (long now = 150; now <= 3_000; now += 150) {
			this.timers.run(now);
			deliver(higherRanked(), 100, 100, now);
		}
		this.follower.updateReceived(afterOutage(100, 101, change("a", 101)), 3_010);
		assertThat(this.events).containsExactly("all [a]", "changed [a]").inOrder();
	}

	// Guards against removals that are held back since this process was late itself.
	@Test
	void doesNotTakeItsOwnLatenessForAnOutage() {
		startWatching();
		this.follower.failed(this.lastCall, "no answer before the timeout", 1_500);
		assertThat(this.follower.recordLateness(600, 1_500)).isEqualTo(900);
		this.timers.run(1_600);
		this.follower.watchAnswered(this.lastCall, List.of(change("x")), 130, 1_604);
		assertThat(this.events).contains("regained 1599");
		this.timers.run(1_700);
		assertThat(this.returns).isEmpty();
		this.follower.failed(this.lastCall, "refused", 1_710);
		this.timers.run(2_900);
		this.follower.watchAnswered(this.lastCall, List.of(change("y")), 131, 2_910);
		assertThat(this.returns).containsExactly(2_910L);
	}

	// Guards against a process that cancels its own calls since it is late to read their
	// answers.
	@Test
	void givesACallTheTimeInWhichItWasLateItself() {
		startWatching();
		this.follower.processResumed(1_000);
		this.follower.recordLateness(1_200, 1_700);
		this.timers.run(1_760);
		assertThat(this.events).containsExactly("all [a]");
		this.timers.run(2_260);
		assertThat(this.events).containsExactly("all [a]", "lost no answer before the timeout").inOrder();
	}

	@Test
	void extendsTheTimeOfACallOnlyOnce() {
		startWatching();
		this.follower.processResumed(1_000);
		this.follower.recordLateness(1_000, 1_760);
		this.timers.run(1_760);
		this.follower.recordLateness(1_760, 2_460);
		this.timers.run(2_460);
		assertThat(this.events).contains("lost no answer before the timeout");
	}

	@Test
	void keepsAnAnswerThatArrivesWhenTheProcessWasLate() {
		startWatching();
		this.calls.clear();
		this.follower.answerProgressed(this.lastCall, 1_000);
		this.follower.processDelayed(1_100);
		assertThat(this.calls).isEmpty();
		this.follower.processDelayed(1_400);
		assertThat(this.calls).containsExactly("abandon", "watch 100 60").inOrder();
	}

	// Guards against removals that are held back since the process has just started.
	@Test
	void doesNotTakeItsOwnStartForAnOutage() {
		this.follower.start(0);
		this.follower.failed(this.lastCall, "refused", 600);
		this.follower.applySnapshot(List.of(item("a")), 90, 50, 1_200);
		this.timers.run(1_300);
		this.follower.pageRead(this.lastCall, List.of(item("a")), false, 100, 1_310);
		assertThat(this.events).containsAtLeast("lost refused", "regained 1310");
		assertThat(this.returns).isEmpty();
	}

	@Test
	void aStartWithASnapshotFromBeforeAnOutageNoticesItsEnd() {
		this.follower.start(0);
		this.follower.failed(this.lastCall, "refused", 600);
		this.follower.applySnapshot(List.of(item("a")), 90, 2_000, 1_200);
		this.timers.run(1_300);
		this.follower.pageRead(this.lastCall, List.of(item("a")), false, 100, 1_310);
		assertThat(this.returns).containsExactly(1_310L);
	}

	@Test
	void marksUpdatesShortlyAfterAnOutage() {
		startWatching();
		this.follower.failed(this.lastCall, "refused", 1_000);
		this.timers.run(1_200);
		this.follower.watchAnswered(this.lastCall, List.of(change("b", 101)), 101, 1_210);
		this.timers.run(1_300);
		this.follower.watchAnswered(this.lastCall, List.of(change("c", 102)), 102, 3_210);
		assertThat(this.sent.stream().map(StoreUpdate::recovering).toList()).containsExactly(true, false).inOrder();
	}

	@Test
	void stopsWatchingForAHigherRankedWatcherOfAnotherGroupAndForwardsItsUpdates() {
		this.otherCount = 3;
		startWatching();
		String reader = ranked(SharedWatch.ALL_GROUPS, true);
		deliverFromOtherGroup(reader, StoreUpdate.Kind.READ, 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(140);
		deliverFromOtherGroup(reader, StoreUpdate.Kind.READ, 100, 101, 145, change("a", 101));
		this.timers.run(300);
		assertThat(this.calls).hasSize(2);
		assertThat(this.events).containsExactly("all [a]", "changed [a]").inOrder();
		assertThat(this.sent).containsAtLeast(forwarded(100, 101, change("a", 101)), forwarded(101, 101)).inOrder();
		this.timers.run(700);
		assertThat(this.calls.get(2)).isEqualTo("watch 101 700");
	}

	@Test
	void keepsWatchingForForwardersAndLowerRankedWatchersOfOtherGroups() {
		this.otherCount = 3;
		startWatching();
		deliverFromOtherGroup(ranked(SharedWatch.ALL_GROUPS, false), StoreUpdate.Kind.READ, 100, 100, 10);
		deliverFromOtherGroup(ranked(SharedWatch.ALL_GROUPS, true), StoreUpdate.Kind.FORWARDED, 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(100);
		assertThat(this.calls.get(2)).isEqualTo("watch 100 700");
	}

	@Test
	void leavesForwardingToAHigherRankedProcessOfItsGroup() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(80);
		this.sent.clear();
		deliverFromOtherGroup(ranked(SharedWatch.ALL_GROUPS, true), StoreUpdate.Kind.READ, 100, 101, 90,
				change("a", 101));
		this.timers.run(200);
		assertThat(this.sent).isEmpty();
	}

	@Test
	void detectsASilentStoreWhileTheWatchMayWait() {
		startWatching();
		this.timers.run(150);
		assertThat(this.probes).isEqualTo(0);
		this.timers.run(450);
		assertThat(this.probes).isEqualTo(1);
		this.follower.probeAnswered(100, 455);
		assertThat(this.follower.isSilent(1_015)).isFalse();
		this.timers.run(900);
		assertThat(this.probes).isEqualTo(2);
		assertThat(this.follower.isSilent(1_016)).isTrue();
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 1_100);
		assertThat(this.follower.isSilent(1_101)).isFalse();
	}

	@Test
	void sendsNoHeartbeatWhileTheStoreIsSilent() {
		this.otherCount = 3;
		startWatching();
		this.timers.run(560);
		this.sent.clear();
		this.timers.run(700);
		assertThat(this.sent).isEmpty();
		deliver(higherRanked(), 100, 100, 710);
		assertThat(this.follower.isSilent(1_000)).isFalse();
	}

	@Test
	void sendsItsOwnReadsToOtherGroups() {
		this.otherCount = 3;
		startWatching();
		this.follower.watchAnswered(this.lastCall, List.of(change("a", 101)), 101, 20);
		assertThat(this.sentToOtherGroups).containsExactly(
				new StoreUpdate("me", "z", 100, 101, List.of(change("a", 101)), false, StoreUpdate.Kind.READ));
	}

	@Test
	void requestsMissedChangesFromOthersWhileTheStoreIsUnreachable() {
		startWatching();
		this.follower.failed(this.lastCall, "rejected", 1_000);
		deliver(lowerRanked(), 103, 104, 1_010, change("d", 104));
		deliver(lowerRanked(), 104, 105, 1_020, change("e", 105));
		assertThat(this.sent)
			.containsExactly(new StoreUpdate("me", "z", 100, 100, List.of(), false, StoreUpdate.Kind.REQUEST));
		assertThat(this.events).containsExactly("all [a]", "lost rejected", "changed [d]", "changed [e]").inOrder();
		deliver(lowerRanked(), 100, 105, 1_030, change("c", 102), change("d", 104), change("e", 105));
		assertThat(this.events).contains("changed [c]");
	}

	@Test
	void appliesChangesAfterAGapAtOnceAndOnlyOnce() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(200);
		deliver(higherRanked(), 100, 101, 210);
		int own = this.calls.size();
		deliver(higherRanked(), 101, 102, 220, change("b", 102));
		assertThat(this.events).containsExactly("all [a]", "changed [b]").inOrder();
		assertThat(this.calls.get(own - 1)).isEqualTo("watch 100 700");
		this.follower.watchAnswered(this.lastCall, List.of(change("plan", 101), change("b", 102)), 102, 400);
		assertThat(this.events).containsExactly("all [a]", "changed [b]", "changed [plan]").inOrder();
	}

	@Test
	void appliesSmallChangesAtOnceWhenALargeOneIsLeftOutOfTheUpdate() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(200);
		StoreChange large = new StoreChange("plan", Optional.of(new StoreItem("plan", "x".repeat(50))), 101);
		StoreUpdate all = new StoreUpdate(higherRanked(), "z", 100, 102, List.of(large, change("b", 102)), false,
				StoreUpdate.Kind.READ);
		this.follower.updateReceived(all.withoutLargeChanges(20), 210);
		assertThat(this.events).containsExactly("all [a]", "changed [b]").inOrder();
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 100 700");
	}

	@Test
	void restartsAnIdleWatchAfterIncreasingTimes() {
		startWatching();
		deliver(lowerRanked(), 150, 160, 500, change("x", 160));
		for (long now = 500; now <= 1_500; now += 100) {
			deliver(lowerRanked(), 150 + now, 160 + now, now, change("y", 160 + now));
			this.timers.run(now);
		}
		assertThat(this.restarts).containsExactly("1 after 300", "2 after 600").inOrder();
		assertThat(this.follower.behindMillis(1_500)).isEqualTo(1_000);
		this.follower.watchAnswered(this.lastCall, List.of(change("x", 160)), 2_000, 1_510);
		assertThat(this.follower.behindMillis(1_520)).isEqualTo(0);
	}

	@Test
	void keepsAWatchWhoseAnswerIsStillArriving() {
		startWatching();
		deliver(lowerRanked(), 150, 160, 500, change("x", 160));
		for (long now = 600; now <= 9_000; now += 200) {
			this.follower.answerProgressed(this.lastCall, now);
			this.timers.run(now);
		}
		assertThat(this.calls).doesNotContain("abandon");
		this.timers.run(9_500);
		assertThat(this.calls).contains("abandon");
	}

	// Guards against answers that grow with each version of a large item, and against
	// keeping all of them in memory.
	@Test
	void answersARequestWithTheNewestChangeOfEachKey() {
		startWatching();
		this.follower.watchAnswered(this.lastCall, List.of(change("plan", 101), change("t", 102), change("plan", 103)),
				103, 20);
		this.timers.run(100);
		this.follower.watchAnswered(this.lastCall, List.of(change("plan", 104)), 104, 110);
		assertThat(this.watch.createAnswer(request(100)).map(StoreUpdate::changes))
			.isEqualTo(Optional.of(List.of(change("t", 102), change("plan", 104))));
	}

	@Test
	void answersARequestOnlyForChangesThatItHas() {
		startWatching();
		this.follower.watchAnswered(this.lastCall, List.of(change("a", 101), change("b", 103)), 103, 20);
		assertThat(this.watch.createAnswer(request(101))).isEqualTo(Optional
			.of(new StoreUpdate("me", "z", 101, 103, List.of(change("b", 103)), false, StoreUpdate.Kind.READ)));
		assertThat(this.watch.createAnswer(request(99))).isEqualTo(Optional.empty());
		assertThat(this.watch.createAnswer(request(103))).isEqualTo(Optional.empty());
	}

	@Test
	void answersARequestWithChangesReceivedFromOthers() {
		startWatching();
		deliver(lowerRanked(), 100, 101, 20, change("a", 101));
		this.follower.watchAnswered(this.lastCall, List.of(change("a", 101), change("b", 102)), 102, 30);
		assertThat(this.watch.createAnswer(request(100)).map(StoreUpdate::to)).isEqualTo(Optional.of(102L));
		assertThat(this.watch.createAnswer(request(100)).map((n) -> n.changes().get(0).key()))
			.isEqualTo(Optional.of("a"));
	}

	// Guards against waiting for a lost answer after the machine was suspended, and
	// against applying an answer as old as the suspension.
	@Test
	void restartsTheWatchAfterAPause() {
		startWatching();
		long previous = this.lastCall;
		this.calls.clear();
		this.follower.processResumed(5_000);
		assertThat(this.calls).containsExactly("abandon", "watch 100 60").inOrder();
		this.events.clear();
		this.follower.watchAnswered(previous, List.of(change("late")), 101, 5_001);
		assertThat(this.events).isEmpty();
		this.follower.watchAnswered(this.lastCall, List.of(change("b")), 101, 5_004);
		assertThat(this.events).containsExactly("changed [b]");
		assertThat(this.follower.ageMillis(5_004)).isEqualTo(0);
	}

	@Test
	void watchesForItselfAfterAPause() {
		this.otherCount = 3;
		startWatching();
		deliver(higherRanked(), 100, 100, 10);
		this.follower.watchAnswered(this.lastCall, List.of(), 100, 20);
		this.timers.run(90);
		this.calls.clear();
		this.follower.processResumed(5_000);
		assertThat(this.calls).containsExactly("abandon", "watch 100 60").inOrder();
	}

	private void startWatching() {
		this.follower.start(0);
		this.follower.pageRead(this.lastCall, List.of(item("a")), false, 100, 5);
	}

	private static StoreItem item(String key) {
		return new StoreItem(key, "value");
	}

	private static StoreChange change(String key) {
		return change(key, 1_000);
	}

	private static StoreChange change(String key, long revision) {
		return new StoreChange(key, Optional.of(item(key)), revision);
	}

	private static StoreChange removed(String key, long revision) {
		return new StoreChange(key, Optional.empty(), revision);
	}

	// The name of a process that ranks above this one in its group.
	private static String higherRanked() {
		return ranked("z", true);
	}

	private static String lowerRanked() {
		return ranked("z", false);
	}

	private static String ranked(String group, boolean isHigher) {
		long key = Rendezvous.hash(group);
		for (int i = 0;; i++) {
			long weight = Rendezvous.weight(key, "r" + i);
			if (Long.compareUnsigned(weight, Rendezvous.weight(key, "me")) > 0 == isHigher) {
				return "r" + i;
			}
		}
	}

	private void deliverFromOtherGroup(String reader, StoreUpdate.Kind kind, long from, long to, long now,
			StoreChange... changes) {
		StoreUpdate update = new StoreUpdate(reader, "y", from, to, List.of(changes), false, kind);
		this.watch.recordUpdate(update, now);
		this.follower.updateReceived(update, now);
	}

	private static StoreUpdate forwarded(long from, long to, StoreChange... changes) {
		return new StoreUpdate("me", "z", from, to, List.of(changes), false, StoreUpdate.Kind.FORWARDED);
	}

	private static StoreUpdate request(long revision) {
		return new StoreUpdate("two", "z", revision, revision, List.of(), false, StoreUpdate.Kind.REQUEST);
	}

	private static StoreUpdate afterOutage(long from, long to, StoreChange... changes) {
		return new StoreUpdate("two", "z", from, to, List.of(changes), true, StoreUpdate.Kind.READ);
	}

	private void deliver(String reader, long from, long to, long now, StoreChange... changes) {
		StoreUpdate update = new StoreUpdate(reader, "z", from, to, List.of(changes), false, StoreUpdate.Kind.READ);
		this.watch.recordUpdate(update, now);
		this.follower.updateReceived(update, now);
	}

	private final class Calls implements StoreCalls {

		@Override
		public void readPage(long call, Optional<String> afterKey) {
			StoreFollowerTests.this.lastCall = call;
			StoreFollowerTests.this.calls.add("page " + afterKey.orElse(""));
		}

		@Override
		public void watch(long call, long revision, long waitMillis, long maxCharacters) {
			StoreFollowerTests.this.lastCall = call;
			StoreFollowerTests.this.calls.add("watch " + revision + ' ' + waitMillis);
		}

		@Override
		public void probe() {
			StoreFollowerTests.this.probes++;
		}

		@Override
		public void cancel() {
			StoreFollowerTests.this.calls.add("abandon");
		}

	}

	private final class Listener implements StoreListener {

		@Override
		public void itemsRead(List<StoreItem> items, long now) {
			StoreFollowerTests.this.events.add("all " + items.stream().map(StoreItem::key).toList());
		}

		@Override
		public void itemsChanged(List<StoreChange> changes, long now) {
			if (StoreFollowerTests.this.listenerFails) {
				throw new IllegalStateException("the listener fails");
			}
			StoreFollowerTests.this.events.add("changed " + changes.stream().map(StoreChange::key).toList());
		}

		@Override
		public void changesMissed(List<StoreChange> missed) {
			StoreFollowerTests.this.missed.addAll(missed);
		}

		@Override
		public void fellBehind(long known, long reported) {
			StoreFollowerTests.this.behindReports.add(known + " to " + reported);
		}

		@Override
		public void watchRestarted(int inARow, long waitedMillis) {
			StoreFollowerTests.this.restarts.add(inARow + " after " + waitedMillis);
		}

		@Override
		public void storeRestored(long known, long at, long now) {
			StoreFollowerTests.this.events.add("history " + StorePosition.of(known) + " to " + StorePosition.of(at));
		}

		@Override
		public void caughtUp(long known, long lagMillis) {
			StoreFollowerTests.this.behindReports.add("caught up with " + known + " after " + lagMillis);
		}

		@Override
		public void watchAnswerTooLarge(long known) {
			StoreFollowerTests.this.events.add("too large after " + known);
		}

		@Override
		public void callFailedAgain(String cause, int consecutive) {
			StoreFollowerTests.this.events.add("failed again " + cause + ' ' + consecutive);
		}

		@Override
		public void storeUnreachable(String cause) {
			StoreFollowerTests.this.events.add("lost " + cause);
		}

		@Override
		public void recoveryReported(long now) {
			StoreFollowerTests.this.events.add("recovery reported");
		}

		@Override
		public void storeReachable(long awayMillis, boolean mayHaveBeenAway, long now) {
			StoreFollowerTests.this.events.add("regained " + awayMillis);
			if (mayHaveBeenAway) {
				StoreFollowerTests.this.returns.add(now);
			}
		}

	}

}
