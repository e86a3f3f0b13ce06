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

	private final List<String> heard = new ArrayList<>();

	private final List<StoreChange> missed = new ArrayList<>();

	private final List<String> gaps = new ArrayList<>();

	private final List<String> anew = new ArrayList<>();

	private boolean fails;

	private final Timers timers = new Timers();

	private long lastCall;

	private final List<StoreNews> told = new ArrayList<>();

	private final List<StoreNews> toldFarAway = new ArrayList<>();

	private int others;

	private int probes;

	private final SharedReading reading = new SharedReading("me", "z", () -> this.others, this.told::add,
			this.toldFarAway::add);

	private final StoreFollower follower = new StoreFollower(SETTINGS, new Calls(), new Listener(), this.timers,
			new Backoff(Duration.ofMillis(100), Duration.ofMillis(800), new SplittableRandom(1)), this.reading);

	@Test
	void readsAllPagesAndWatchesFromTheFirstPagesRevision() {
		this.follower.start(0);
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), true, 100, 5);
		this.follower.pageRead(this.lastCall, List.of(item("c")), false, 120, 10);
		assertThat(this.calls).containsExactly("page ", "page b", "watch 100 4000").inOrder();
		assertThat(this.heard).containsExactly("all [a, b, c]");
	}

	@Test
	void goesOnFromTheRevisionOfEachAnswerAndFetchesASeriesOfChangesTogether() {
		watching();
		this.follower.watched(this.lastCall, List.of(change("a")), 105, 20);
		assertThat(this.heard).contains("changed [a]");
		assertThat(this.calls).doesNotContain("watch 105 4000");
		this.timers.run(70);
		assertThat(this.calls).contains("watch 105 4000");
	}

	@Test
	void aLateAnswerOfACallGivenUpIsPassedOver() {
		watching();
		long old = this.lastCall;
		this.timers.run(4_800);
		assertThat(this.calls).contains("abandon");
		this.follower.watched(old, List.of(change("late")), 300, 4_900);
		assertThat(this.heard).doesNotContain("changed [late]");
	}

	@Test
	void tellsOfALostStoreOnceAndOfItsReturnBeforeWhatItSays() {
		watching();
		this.follower.failed(this.lastCall, "refused", 1_000);
		this.timers.run(1_200);
		this.follower.failed(this.lastCall, "refused", 1_210);
		this.timers.run(2_000);
		this.follower.watched(this.lastCall, List.of(change("x")), 130, 2_010);
		assertThat(this.heard).containsExactly("all [a]", "lost refused", "regained 2005", "changed [x]").inOrder();
	}

	@Test
	void asksBrieflyFirstAfterAFailure() {
		watching();
		this.follower.failed(this.lastCall, "refused", 1_000);
		this.timers.run(1_200);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 100 60");
	}

	@Test
	void readsAnewWhereTheHistoryIsGone() {
		watching();
		this.follower.historyGone(this.lastCall, 1_000);
		this.timers.run(1_100);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("page ");
		this.follower.pageRead(this.lastCall, List.of(item("z")), false, 500, 1_110);
		assertThat(this.heard).contains("all [z]");
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 500 4000");
	}

	@Test
	void aChangeToldWhileAllIsReadAnewIsHeardAndNotUndoneByOlderPages() {
		watching();
		this.follower.historyGone(this.lastCall, 1_000);
		this.timers.run(1_100);
		tell(lower(), 99, 100, 1_110, change("a", 100));
		tell(lower(), 503, 504, 1_120, gone("b", 504));
		assertThat(this.heard).containsExactly("all [a]", "changed [b]").inOrder();
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 500, 1_130);
		assertThat(this.heard.get(2)).isEqualTo("all [a]");
		assertThat(this.follower.knownItems()).containsExactly(item("a"), item("b"));
	}

	@Test
	void aPageOlderThanWhatAnotherToldMeanwhileIsPassedOver() {
		this.follower.start(0);
		this.follower.adopt(List.of(item("a")), 120, 5);
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 110, 10);
		assertThat(this.heard).containsExactly("all [a]");
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 120 4000");
	}

	@Test
	void tellsWhatAReadingOfAllItemsFoundThatWasNotHeardOf() {
		watching();
		tell(lower(), 150, 160, 500, change("heard", 160));
		this.follower.historyGone(this.lastCall, 1_000);
		this.timers.run(1_100);
		this.follower.pageRead(this.lastCall, List.of(item("b"), item("heard")), false, 500, 1_110);
		assertThat(this.missed).containsExactly(gone("a", 500), change("b", 500)).inOrder();
	}

	@Test
	void aKeyOfWhichALaterChangeWasHeardIsNotMissed() {
		watching();
		tell(lower(), 600, 601, 500, gone("a", 601));
		this.follower.historyGone(this.lastCall, 1_000);
		this.timers.run(1_100);
		this.follower.pageRead(this.lastCall, List.of(item("a")), false, 500, 1_110);
		assertThat(this.missed).isEmpty();
	}

	@Test
	void tellsThatItIsBehindOnceUntilItHasCaughtUp() {
		watching();
		tell(lower(), 150, 160, 500, change("x", 160));
		tell(lower(), 170, 180, 510, change("y", 180));
		assertThat(this.gaps).containsExactly("100 to 160");
		this.follower.watched(this.lastCall, List.of(change("x", 160), change("y", 180)), 180, 600);
		tell(lower(), 190, 200, 700, change("z", 200));
		assertThat(this.gaps).containsExactly("100 to 160", "180 to 200").inOrder();
	}

	/**
	 * An exception that a listener throws used to leave the follower without a call and
	 * without a time for the next one: it heard nothing of the store any more, and work
	 * went to targets that had left. Read in the code while a target was looked for that
	 * one entry went on using; not seen in a run.
	 */
	@Test
	void aListenerThatFailsDoesNotEndTheFollowing() {
		watching();
		this.fails = true;
		assertThrows(IllegalStateException.class,
				() -> this.follower.watched(this.lastCall, List.of(change("b", 101)), 101, 1_000));
		this.fails = false;
		this.timers.run(3_000);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("page ");
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 101, 3_010);
		assertThat(this.heard).contains("all [a, b]");
		this.fails = true;
		this.timers.run(3_100);
		assertThrows(IllegalStateException.class,
				() -> this.follower.watched(this.lastCall, List.of(change("c", 102)), 102, 3_200));
		this.timers.run(6_000);
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("page ");
	}

	@Test
	void startsOverWhereAPageFails() {
		this.follower.start(0);
		this.follower.pageRead(this.lastCall, List.of(item("a")), true, 100, 5);
		this.follower.failed(this.lastCall, "reset", 10);
		this.timers.run(200);
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 130, 210);
		assertThat(this.heard).contains("all [a, b]");
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 130 4000");
	}

	@Test
	void leavesTheReadingToAReaderOfHigherRankAndTakesItsNews() {
		this.others = 3;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(change("a", 101)), 101, 20);
		tell(higher(), 100, 102, 30, change("a", 101), change("b", 102));
		this.timers.run(400);
		assertThat(this.calls).containsExactly("page ", "watch 100 700");
		assertThat(this.heard).containsExactly("all [a]", "changed [a]", "changed [b]").inOrder();
	}

	@Test
	void readsItselfAgainWhenTheReaderFallsSilent() {
		this.others = 3;
		watching();
		tell(higher(), 100, 105, 10, change("a", 105));
		this.follower.watched(this.lastCall, List.of(), 105, 20);
		this.timers.run(480);
		assertThat(this.calls).hasSize(2);
		this.timers.run(560);
		assertThat(this.calls.get(2)).isEqualTo("watch 105 700");
	}

	@Test
	void aGapInWhatTheReaderToldIsFilledByACall() {
		this.others = 3;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(100);
		assertThat(this.calls).hasSize(2);
		tell(higher(), 103, 104, 110, change("b", 104));
		assertThat(this.calls.get(2)).isEqualTo("watch 100 700");
		this.follower.watched(this.lastCall, List.of(change("a", 102), change("b", 104)), 104, 130);
		assertThat(this.heard).containsExactly("all [a]", "changed [b]", "changed [a]").inOrder();
	}

	@Test
	void goesOnReadingForOthersOfLowerRankAndTellsThem() {
		this.others = 3;
		watching();
		tell(lower(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(change("a", 101)), 101, 20);
		this.timers.run(150);
		assertThat(this.calls.get(2)).isEqualTo("watch 101 700");
		assertThat(this.told).containsExactly(
				new StoreNews("me", "z", 100, 101, List.of(change("a", 101)), false, StoreNews.Kind.READ),
				new StoreNews("me", "z", 101, 101, List.of(), false, StoreNews.Kind.READ));
	}

	@Test
	void givesNoSignOfLifeWhileItsOwnWatchIsOverdue() {
		this.others = 3;
		watching();
		this.timers.run(850);
		this.told.clear();
		this.timers.run(1_300);
		assertThat(this.told).isEmpty();
	}

	@Test
	void changesKnownAlreadyArePassedOver() {
		watching();
		this.follower.watched(this.lastCall, List.of(change("old", 100), change("new", 101)), 101, 20);
		assertThat(this.heard).contains("changed [new]");
	}

	@Test
	void readsForItselfWhereTheGroupIsSmall() {
		this.others = 2;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(100);
		assertThat(this.calls.get(2)).isEqualTo("watch 100 4000");
		assertThat(this.told).isEmpty();
	}

	@Test
	void hearsFromOthersWhatTheStoreDoesNotTellIt() {
		watching();
		this.follower.failed(this.lastCall, "turned away", 1_000);
		tell(lower(), 100, 101, 1_010, change("a", 101));
		tell(lower(), 101, 102, 4_000, change("b", 102));
		assertThat(this.heard).containsExactly("all [a]", "lost turned away", "changed [a]", "changed [b]").inOrder();
	}

	@Test
	void hearsOfTheStoresReturnFromOthersBeforeWhatTheyTellUnlessItFollowsItself() {
		watching();
		this.follower.told(returning(100, 101, change("a", 101)), 100);
		this.follower.failed(this.lastCall, "no answer", 1_000);
		this.follower.told(returning(101, 102, change("b", 102)), 5_000);
		this.follower.told(returning(102, 103, change("c", 103)), 5_500);
		assertThat(this.heard)
			.containsExactly("all [a]", "changed [a]", "lost no answer", "return heard", "changed [b]", "changed [c]")
			.inOrder();
	}

	@Test
	void aProcessThatReliesOnAReaderWasNotAwayWithIt() {
		this.others = 3;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		for (long now = 150; now <= 3_000; now += 150) {
			this.timers.run(now);
			tell(higher(), 100, 100, now);
		}
		this.follower.told(returning(100, 101, change("a", 101)), 3_010);
		assertThat(this.heard).containsExactly("all [a]", "changed [a]").inOrder();
	}

	@Test
	void saysForAWhileThatTheStoreIsBackOnlyLately() {
		watching();
		this.follower.failed(this.lastCall, "refused", 1_000);
		this.timers.run(1_200);
		this.follower.watched(this.lastCall, List.of(change("b", 101)), 101, 1_210);
		this.timers.run(1_300);
		this.follower.watched(this.lastCall, List.of(change("c", 102)), 102, 3_210);
		assertThat(this.told.stream().map(StoreNews::returning).toList()).containsExactly(true, false).inOrder();
	}

	@Test
	void reliesOnTheReaderOfAnotherGroupThatRanksHigherAmongAllAndPassesItsNewsOn() {
		this.others = 3;
		watching();
		String reader = named(SharedReading.ALL_GROUPS, true);
		tellFarAway(reader, StoreNews.Kind.READ, 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(140);
		tellFarAway(reader, StoreNews.Kind.READ, 100, 101, 145, change("a", 101));
		this.timers.run(300);
		assertThat(this.calls).hasSize(2);
		assertThat(this.heard).containsExactly("all [a]", "changed [a]").inOrder();
		assertThat(this.told).containsAtLeast(passedOn(100, 101, change("a", 101)), passedOn(101, 101)).inOrder();
		this.timers.run(700);
		assertThat(this.calls.get(2)).isEqualTo("watch 101 700");
	}

	@Test
	void reliesOnNobodyOfAnotherGroupWhoPassesOnOrRanksLower() {
		this.others = 3;
		watching();
		tellFarAway(named(SharedReading.ALL_GROUPS, false), StoreNews.Kind.READ, 100, 100, 10);
		tellFarAway(named(SharedReading.ALL_GROUPS, true), StoreNews.Kind.PASSED_ON, 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(100);
		assertThat(this.calls.get(2)).isEqualTo("watch 100 700");
	}

	@Test
	void leavesThePassingOnToAnotherOfHigherRankInItsGroup() {
		this.others = 3;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(80);
		this.told.clear();
		tellFarAway(named(SharedReading.ALL_GROUPS, true), StoreNews.Kind.READ, 100, 101, 90, change("a", 101));
		this.timers.run(200);
		assertThat(this.told).isEmpty();
	}

	@Test
	void aStoreThatSaysNothingIsFoundSilentThoughTheWatchMayWait() {
		watching();
		this.timers.run(150);
		assertThat(this.probes).isEqualTo(0);
		this.timers.run(450);
		assertThat(this.probes).isEqualTo(1);
		this.follower.probed(100, 455);
		assertThat(this.follower.isSilent(1_015)).isFalse();
		this.timers.run(900);
		assertThat(this.probes).isEqualTo(2);
		assertThat(this.follower.isSilent(1_016)).isTrue();
		this.follower.watched(this.lastCall, List.of(), 100, 1_100);
		assertThat(this.follower.isSilent(1_101)).isFalse();
	}

	@Test
	void aReaderOfASilentStoreGivesNoSignOfLifeAndItsFollowersFindOut() {
		this.others = 3;
		watching();
		this.timers.run(560);
		this.told.clear();
		this.timers.run(700);
		assertThat(this.told).isEmpty();
		tell(higher(), 100, 100, 710);
		assertThat(this.follower.isSilent(1_000)).isFalse();
	}

	@Test
	void tellsOtherGroupsWhatItReadsItself() {
		this.others = 3;
		watching();
		this.follower.watched(this.lastCall, List.of(change("a", 101)), 101, 20);
		assertThat(this.toldFarAway)
			.containsExactly(new StoreNews("me", "z", 100, 101, List.of(change("a", 101)), false, StoreNews.Kind.READ));
	}

	@Test
	void asksOthersForWhatItMissedWhileTheStoreIsOutOfReach() {
		watching();
		this.follower.failed(this.lastCall, "turned away", 1_000);
		tell(lower(), 103, 104, 1_010, change("d", 104));
		tell(lower(), 104, 105, 1_020, change("e", 105));
		assertThat(this.told)
			.containsExactly(new StoreNews("me", "z", 100, 100, List.of(), false, StoreNews.Kind.QUESTION));
		assertThat(this.heard).containsExactly("all [a]", "lost turned away", "changed [d]", "changed [e]").inOrder();
		tell(lower(), 100, 105, 1_030, change("c", 102), change("d", 104), change("e", 105));
		assertThat(this.heard).contains("changed [c]");
	}

	@Test
	void changesBehindAGapAreHeardAtOnceAndNotAgainInTheirOrder() {
		this.others = 3;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(200);
		tell(higher(), 100, 101, 210);
		int own = this.calls.size();
		tell(higher(), 101, 102, 220, change("b", 102));
		assertThat(this.heard).containsExactly("all [a]", "changed [b]").inOrder();
		assertThat(this.calls.get(own - 1)).isEqualTo("watch 100 700");
		this.follower.watched(this.lastCall, List.of(change("plan", 101), change("b", 102)), 102, 400);
		assertThat(this.heard).containsExactly("all [a]", "changed [b]", "changed [plan]").inOrder();
	}

	@Test
	void smallChangesAreHeardAtOnceWhereALargeOneOfTheSameNewsIsLeftOut() {
		this.others = 3;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(200);
		StoreChange large = new StoreChange("plan", Optional.of(new StoreItem("plan", "x".repeat(50))), 101);
		StoreNews all = new StoreNews(higher(), "z", 100, 102, List.of(large, change("b", 102)), false,
				StoreNews.Kind.READ);
		this.follower.told(all.withoutLargeChanges(20), 210);
		assertThat(this.heard).containsExactly("all [a]", "changed [b]").inOrder();
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 100 700");
	}

	@Test
	void aWatchOfWhichNothingArrivesIsBegunAnewAfterLongerTimes() {
		watching();
		tell(lower(), 150, 160, 500, change("x", 160));
		for (long now = 500; now <= 1_500; now += 100) {
			tell(lower(), 150 + now, 160 + now, now, change("y", 160 + now));
			this.timers.run(now);
		}
		assertThat(this.anew).containsExactly("1 after 300", "2 after 600").inOrder();
		assertThat(this.follower.behindMillis(1_500)).isEqualTo(1_000);
		this.follower.watched(this.lastCall, List.of(change("x", 160)), 2_000, 1_510);
		assertThat(this.follower.behindMillis(1_520)).isEqualTo(0);
	}

	@Test
	void aWatchWhoseAnswerGoesOnArrivingIsNotGivenUp() {
		watching();
		tell(lower(), 150, 160, 500, change("x", 160));
		for (long now = 600; now <= 9_000; now += 200) {
			this.follower.progressed(this.lastCall, now);
			this.timers.run(now);
		}
		assertThat(this.calls).doesNotContain("abandon");
		this.timers.run(9_500);
		assertThat(this.calls).contains("abandon");
	}

	@Test
	void answersWithWhatItReadItselfAndNothingElse() {
		watching();
		this.follower.watched(this.lastCall, List.of(change("a", 101), change("b", 103)), 103, 20);
		assertThat(this.reading.answer(question(101))).isEqualTo(
				Optional.of(new StoreNews("me", "z", 101, 103, List.of(change("b", 103)), false, StoreNews.Kind.READ)));
		assertThat(this.reading.answer(question(99))).isEqualTo(Optional.empty());
		assertThat(this.reading.answer(question(103))).isEqualTo(Optional.empty());
	}

	@Test
	void answersWithWhatOthersToldToo() {
		watching();
		tell(lower(), 100, 101, 20, change("a", 101));
		this.follower.watched(this.lastCall, List.of(change("a", 101), change("b", 102)), 102, 30);
		assertThat(this.reading.answer(question(100)).map(StoreNews::to)).isEqualTo(Optional.of(102L));
		assertThat(this.reading.answer(question(100)).map((n) -> n.changes().get(0).key())).isEqualTo(Optional.of("a"));
	}

	// An entry whose machine was suspended holds a watch that nobody answers any more, or
	// one whose answer is as old as the suspension.
	@Test
	void behindAPauseTheStoreIsAskedAtOnceOnANewCall() {
		watching();
		long former = this.lastCall;
		this.calls.clear();
		this.follower.heldUp(5_000);
		assertThat(this.calls).containsExactly("abandon", "watch 100 60").inOrder();
		this.heard.clear();
		this.follower.watched(former, List.of(change("late")), 101, 5_001);
		assertThat(this.heard).isEmpty();
		this.follower.watched(this.lastCall, List.of(change("b")), 101, 5_004);
		assertThat(this.heard).containsExactly("changed [b]");
		assertThat(this.follower.ageMillis(5_004)).isEqualTo(0);
	}

	@Test
	void behindAPauseAProcessThatRestedReadsItself() {
		this.others = 3;
		watching();
		tell(higher(), 100, 100, 10);
		this.follower.watched(this.lastCall, List.of(), 100, 20);
		this.timers.run(90);
		this.calls.clear();
		this.follower.heldUp(5_000);
		assertThat(this.calls).containsExactly("abandon", "watch 100 60").inOrder();
	}

	private void watching() {
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

	private static StoreChange gone(String key, long revision) {
		return new StoreChange(key, Optional.empty(), revision);
	}

	// A name that ranks above this process's own in its group.
	private static String higher() {
		return named("z", true);
	}

	private static String lower() {
		return named("z", false);
	}

	private static String named(String group, boolean isHigher) {
		long key = Rendezvous.hash(group);
		for (int i = 0;; i++) {
			long weight = Rendezvous.weight(key, "r" + i);
			if (Long.compareUnsigned(weight, Rendezvous.weight(key, "me")) > 0 == isHigher) {
				return "r" + i;
			}
		}
	}

	private void tellFarAway(String reader, StoreNews.Kind kind, long from, long to, long now, StoreChange... changes) {
		StoreNews news = new StoreNews(reader, "y", from, to, List.of(changes), false, kind);
		this.reading.heard(news, now);
		this.follower.told(news, now);
	}

	private static StoreNews passedOn(long from, long to, StoreChange... changes) {
		return new StoreNews("me", "z", from, to, List.of(changes), false, StoreNews.Kind.PASSED_ON);
	}

	private static StoreNews question(long revision) {
		return new StoreNews("two", "z", revision, revision, List.of(), false, StoreNews.Kind.QUESTION);
	}

	private static StoreNews returning(long from, long to, StoreChange... changes) {
		return new StoreNews("two", "z", from, to, List.of(changes), true, StoreNews.Kind.READ);
	}

	private void tell(String reader, long from, long to, long now, StoreChange... changes) {
		StoreNews news = new StoreNews(reader, "z", from, to, List.of(changes), false, StoreNews.Kind.READ);
		this.reading.heard(news, now);
		this.follower.told(news, now);
	}

	private final class Calls implements FollowOutputs {

		@Override
		public void readPage(long call, Optional<String> afterKey) {
			StoreFollowerTests.this.lastCall = call;
			StoreFollowerTests.this.calls.add("page " + afterKey.orElse(""));
		}

		@Override
		public void watch(long call, long revision, long waitMillis) {
			StoreFollowerTests.this.lastCall = call;
			StoreFollowerTests.this.calls.add("watch " + revision + ' ' + waitMillis);
		}

		@Override
		public void probe() {
			StoreFollowerTests.this.probes++;
		}

		@Override
		public void abandon() {
			StoreFollowerTests.this.calls.add("abandon");
		}

	}

	private final class Listener implements FollowListener {

		@Override
		public void all(List<StoreItem> items, long now) {
			StoreFollowerTests.this.heard.add("all " + items.stream().map(StoreItem::key).toList());
		}

		@Override
		public void changed(List<StoreChange> changes, long now) {
			if (StoreFollowerTests.this.fails) {
				throw new IllegalStateException("the listener fails");
			}
			StoreFollowerTests.this.heard.add("changed " + changes.stream().map(StoreChange::key).toList());
		}

		@Override
		public void missed(List<StoreChange> missed) {
			StoreFollowerTests.this.missed.addAll(missed);
		}

		@Override
		public void behind(long known, long told) {
			StoreFollowerTests.this.gaps.add(known + " to " + told);
		}

		@Override
		public void askedAnew(int inARow, long waitedMillis) {
			StoreFollowerTests.this.anew.add(inARow + " after " + waitedMillis);
		}

		@Override
		public void historyReplaced(long known, long at, long now) {
			StoreFollowerTests.this.heard.add("history " + StorePosition.of(known) + " to " + StorePosition.of(at));
		}

		@Override
		public void lost(String cause) {
			StoreFollowerTests.this.heard.add("lost " + cause);
		}

		@Override
		public void returnHeard(long now) {
			StoreFollowerTests.this.heard.add("return heard");
		}

		@Override
		public void regained(long awayMillis, boolean mayHaveBeenAway, long now) {
			StoreFollowerTests.this.heard.add("regained " + awayMillis);
		}

	}

}
