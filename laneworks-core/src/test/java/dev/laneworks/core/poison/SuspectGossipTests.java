package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SuspectGossip} with several entries in virtual time.
 */
class SuspectGossipTests {

	private static final RequestDigest DIGEST = new RequestDigest(1, 2, 3);

	/** The delivery time of a datagram, in milliseconds. */
	private static final long LATENCY_MILLIS = 3;

	private Timers timers = new Timers();

	private final List<Entry> entries = new ArrayList<>();

	private final SplittableRandom random = new SplittableRandom(4);

	private double lossRate;

	private int sent;

	private long now;

	@Test
	void sendsNothingWithoutSuspects() {
		start(5);
		passTime(60_000);
		assertThat(this.sent).isEqualTo(0);
	}

	@Test
	void observationsReachAllEntriesAtOnce() {
		start(33);
		this.entries.get(0).observe("a");
		this.entries.get(1).observe("b");
		this.entries.get(2).observe("c");
		passTime(2 * LATENCY_MILLIS);
		assertThat(quarantiningEntries()).isEqualTo(33);
	}

	// All entries must quarantine a request within three seconds although a tenth of all
	// datagrams is lost.
	@Test
	void repeatsMakeUpForLostDatagrams() {
		for (int seed = 0; seed < 500; seed++) {
			this.entries.clear();
			this.timers = new Timers();
			start(4);
			this.lossRate = 0.1;
			this.entries.get(0).observe("a");
			this.entries.get(0).observe("b");
			this.entries.get(1).observe("c");
			passTime(3_000);
			assertThat(quarantiningEntries()).isEqualTo(4);
		}
	}

	@Test
	void newEntryReceivesReportsWithinOneRound() {
		start(4);
		this.entries.get(0).observe("a");
		this.entries.get(0).observe("b");
		this.entries.get(0).observe("c");
		passTime(100);
		this.entries.remove(0);
		passTime(60_000);
		start(1);
		passTime(SuspectGossip.ROUND_MILLIS + LATENCY_MILLIS);
		assertThat(quarantiningEntries()).isEqualTo(4);
	}

	@Test
	void completionReachesAllEntries() {
		start(3);
		this.entries.get(0).observe("a");
		passTime(10);
		this.entries.get(1).suspects.recordCompletion(DIGEST, this.now);
		passTime(10);
		this.entries.forEach((e) -> assertThat(e.suspects.crashedTargets(DIGEST)).isEmpty());
	}

	// Bounds the traffic while a target with 60 requests crashes each half second.
	@Test
	void trafficIsBoundedDuringManyCrashes() {
		start(2);
		for (int end = 0; end < 240; end++) {
			for (int i = 0; i < 60; i++) {
				this.entries.get(0).observe(new RequestDigest(0, end, i), "t" + end);
			}
			passTime(500);
		}
		// Four sends of each crash to the other entry, and the rounds of both entries.
		assertThat(this.sent).isAtMost(240 * 4 + 120 * 2 * 4);
	}

	private void start(int count) {
		IntStream.range(0, count).forEach((i) -> this.entries.add(new Entry(this.entries.size())));
		this.entries.subList(this.entries.size() - count, this.entries.size()).forEach((e) -> e.gossip.start(this.now));
	}

	private long quarantiningEntries() {
		return this.entries.stream()
			.filter((e) -> e.suspects.remainingQuarantineMillis(DIGEST, this.now).isPresent())
			.count();
	}

	private void passTime(long millis) {
		long end = this.now + millis;
		while (this.timers.nextDue() <= end) {
			this.now = this.timers.nextDue();
			this.timers.run(this.now);
		}
		this.now = end;
	}

	private final class Entry implements SuspectListener {

		private final String address;

		private final SuspectRequests suspects = new SuspectRequests(PoisonSettings.defaults(), this);

		private final SuspectGossip<RequestDigest, SuspectReport> gossip = new SuspectGossip<>(
				SuspectGossip.requestReports(this.suspects), this::others, this::send, SuspectGossipTests.this.timers,
				SuspectGossipTests.this.random);

		private boolean isReceiving;

		private Entry(int number) {
			this.address = "e" + number + "@" + SuspectGossipTests.this.now;
		}

		private void observe(String target) {
			observe(DIGEST, target);
		}

		private void observe(RequestDigest digest, String target) {
			long at = SuspectGossipTests.this.now;
			this.suspects.recordCrash(digest, TargetIncarnation.of(target), at, at);
		}

		private List<String> others() {
			return SuspectGossipTests.this.entries.stream().filter((e) -> e != this).map((e) -> e.address).toList();
		}

		private void send(Collection<String> addresses, List<SuspectReport> reports) {
			for (Entry other : SuspectGossipTests.this.entries) {
				if (addresses.contains(other.address)) {
					SuspectGossipTests.this.sent++;
					deliver(other, reports);
				}
			}
		}

		private void deliver(Entry other, List<SuspectReport> reports) {
			if (SuspectGossipTests.this.random.nextDouble() < SuspectGossipTests.this.lossRate) {
				return;
			}
			SuspectGossipTests.this.timers.schedule(SuspectGossipTests.this.now + LATENCY_MILLIS, (t) -> {
				other.isReceiving = true;
				reports.forEach((r) -> other.suspects.handleReport(r, t));
				other.isReceiving = false;
			});
		}

		@Override
		public void crashed(RequestDigest digest, TargetIncarnation incarnation, int ends, long at) {
			if (!this.isReceiving) {
				this.gossip.report(digest, at);
			}
		}

		@Override
		public void quarantined(RequestDigest digest, long at) {
			// The simulation has no calls to cancel.
		}

		@Override
		public void cleared(RequestDigest digest, long at) {
			crashed(digest, TargetIncarnation.of("none"), 0, at);
		}

	}

}
