package dev.laneworks.core.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link StoreFollower}.
 */
class StoreFollowerTests {

	private static final FollowSettings SETTINGS = new FollowSettings(4_000, 700, 60);

	private final List<String> calls = new ArrayList<>();

	private final List<String> heard = new ArrayList<>();

	private final Timers timers = new Timers();

	private long lastCall;

	private final StoreFollower follower = new StoreFollower(SETTINGS, new Calls(), new Listener(), this.timers,
			new Backoff(Duration.ofMillis(100), Duration.ofMillis(800), new SplittableRandom(1)));

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
	void startsOverWhereAPageFails() {
		this.follower.start(0);
		this.follower.pageRead(this.lastCall, List.of(item("a")), true, 100, 5);
		this.follower.failed(this.lastCall, "reset", 10);
		this.timers.run(200);
		this.follower.pageRead(this.lastCall, List.of(item("a"), item("b")), false, 130, 210);
		assertThat(this.heard).contains("all [a, b]");
		assertThat(this.calls.get(this.calls.size() - 1)).isEqualTo("watch 130 4000");
	}

	private void watching() {
		this.follower.start(0);
		this.follower.pageRead(this.lastCall, List.of(item("a")), false, 100, 5);
	}

	private static StoreItem item(String key) {
		return new StoreItem(key, "value");
	}

	private static StoreChange change(String key) {
		return new StoreChange(key, Optional.of(item(key)));
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
			StoreFollowerTests.this.heard.add("changed " + changes.stream().map(StoreChange::key).toList());
		}

		@Override
		public void lost(String cause) {
			StoreFollowerTests.this.heard.add("lost " + cause);
		}

		@Override
		public void regained(long awayMillis, long now) {
			StoreFollowerTests.this.heard.add("regained " + awayMillis);
		}

	}

}
