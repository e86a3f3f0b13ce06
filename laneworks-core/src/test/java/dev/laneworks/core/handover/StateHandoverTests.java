package dev.laneworks.core.handover;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;

import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.handover.SnapshotFetcher.Result;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SnapshotSender} and {@link SnapshotFetcher}.
 */
class StateHandoverTests {

	private static final String A = "10.0.0.1:7200";

	private static final String B = "10.0.0.2:7200";

	private final Timers timers = new Timers();

	private final List<Result> results = new ArrayList<>();

	private final List<String> requests = new ArrayList<>();

	/** Chunks in transit to the receiver. */
	private final List<Sent> inTransit = new ArrayList<>();

	private Optional<StoreSnapshot> snapshot = Optional.of(state(100, 200_000));

	private boolean isServerSilent;

	private final SnapshotSender server = new SnapshotSender((t) -> this.snapshot, new TextFormat());

	/** The server at the second address, if there is one. */
	private Optional<SnapshotSender> other = Optional.empty();

	private final SnapshotFetcher fetcher = new SnapshotFetcher(new TextFormat(), () -> List.of(A, B),
			this::sendRequest, this.results::add, this.timers, new SplittableRandom(1));

	private long now;

	@Test
	void receivesSnapshotOfManyChunks() {
		this.fetcher.start(0, 0);
		deliverAll();
		assertThat(this.results).containsExactly(new Result(A, this.snapshot.get()));
	}

	@Test
	void toleratesLostDuplicatedAndReorderedChunks() {
		Random random = new Random(7);
		this.fetcher.start(0, 0);
		for (int i = 0; i < 400 && this.results.isEmpty(); i++) {
			List<Sent> arriving = new ArrayList<>(this.inTransit);
			arriving.addAll(this.inTransit);
			this.inTransit.clear();
			Collections.shuffle(arriving, random);
			arriving.stream().filter((s) -> random.nextInt(3) > 0).forEach(this::deliver);
			passTime(SnapshotFetcher.REQUEST_MILLIS);
		}
		assertThat(this.results.stream().map(Result::snapshot).toList()).containsExactly(this.snapshot.get());
	}

	@Test
	void abandonsASilentServer() {
		this.fetcher.start(0, 0);
		deliver(this.inTransit.get(0));
		this.inTransit.clear();
		this.isServerSilent = true;
		passTime(160);
		this.isServerSilent = false;
		assertThat(this.requests).contains(B + " -1 0");
		passTime(SnapshotFetcher.REQUEST_MILLIS);
		deliverAll();
		assertThat(this.results).hasSize(1);
	}

	@Test
	void onlyALaterRevisionReplacesAnIncompleteSnapshot() {
		this.fetcher.start(0, 0);
		deliver(this.inTransit.get(0));
		List<Sent> delayed = List.copyOf(this.inTransit);
		this.inTransit.clear();
		StoreSnapshot later = state(101, 20_000);
		this.other = Optional.of(new SnapshotSender((t) -> Optional.of(later), new TextFormat()));
		sendRequest(B, new SnapshotRequest(SnapshotRequest.ANY_REVISION, 0));
		deliver(this.inTransit.remove(0));
		delayed.forEach(this::deliver);
		deliverAll();
		assertThat(this.results).containsExactly(new Result(B, later));
	}

	@Test
	void receivesTheInitialRevisionWhileTheStateChanges() {
		StoreSnapshot first = this.snapshot.get();
		this.fetcher.start(0, 0);
		this.snapshot = Optional.of(state(101, 200_000));
		deliverAll();
		assertThat(this.results).containsExactly(new Result(A, first));
	}

	// Guards against requests that multiply with each transfer.
	@Test
	void sendsNoMoreRequestsAfterATransferStartsAgain() {
		this.isServerSilent = true;
		this.fetcher.start(0, 0);
		for (int i = 0; i < 5; i++) {
			this.fetcher.stop();
			this.fetcher.start(0, this.now);
		}
		this.requests.clear();
		for (int i = 0; i < 10; i++) {
			passTime(SnapshotFetcher.REQUEST_MILLIS);
		}
		assertThat(this.requests.size()).isAtMost(20);
	}

	// Guards against requests at a constant rate while no process can answer.
	@Test
	void asksLessOftenWhileNobodyAnswers() {
		this.isServerSilent = true;
		this.fetcher.start(0, 0);
		for (int i = 0; i < 250; i++) {
			passTime(SnapshotFetcher.REQUEST_MILLIS);
		}
		// Two processes, ten seconds at intervals of 40 to 320 ms.
		assertThat(this.requests.size()).isAtMost(80);
		this.isServerSilent = false;
		passTime(400);
		deliverAll();
		assertThat(this.results).hasSize(1);
	}

	@Test
	void ignoresUnknownSendersAndInactiveTransfers() {
		SnapshotChunk chunk = new SnapshotChunk(900, 0, 0, 1, "k=v".getBytes(StandardCharsets.UTF_8));
		this.fetcher.received(A, chunk, 0);
		this.fetcher.start(0, 0);
		this.fetcher.received("10.9.9.9:7200", chunk, 0);
		assertThat(this.results).isEmpty();
		this.fetcher.stop();
		this.fetcher.received(A, chunk, 0);
		passTime(500);
		assertThat(this.results).isEmpty();
		assertThat(this.requests).hasSize(2);
	}

	@Test
	void serverWithoutSnapshotSendsNothing() {
		this.snapshot = Optional.empty();
		assertThat(this.server.answer(new SnapshotRequest(SnapshotRequest.ANY_REVISION, 0), 0)).isEmpty();
	}

	private void sendRequest(String address, SnapshotRequest request) {
		this.requests.add(address + ' ' + request.revision() + ' ' + request.firstChunk());
		if (!this.isServerSilent && address.equals(A)) {
			this.server.answer(request, this.now).forEach((p) -> this.inTransit.add(new Sent(A, p)));
		}
		if (address.equals(B)) {
			this.other.stream()
				.flatMap((s) -> s.answer(request, this.now).stream())
				.forEach((p) -> this.inTransit.add(new Sent(B, p)));
		}
	}

	private void deliverAll() {
		while (!this.inTransit.isEmpty()) {
			deliver(this.inTransit.remove(0));
		}
	}

	private void deliver(Sent sent) {
		this.fetcher.received(sent.from, sent.chunk, this.now);
	}

	private void passTime(long millis) {
		this.now += millis;
		this.timers.run(this.now);
	}

	private static StoreSnapshot state(long revision, int length) {
		return new StoreSnapshot(revision, 300,
				List.of(new StoreItem("a", "x".repeat(length)), new StoreItem("b", "y")));
	}

	private record Sent(String from, SnapshotChunk chunk) {

	}

	/**
	 * Encodes one item per line.
	 */
	private static final class TextFormat implements SnapshotFormat {

		@Override
		public byte[] encode(List<StoreItem> items) {
			StringBuilder text = new StringBuilder();
			items.forEach((i) -> text.append(i.key()).append('=').append(i.value()).append('\n'));
			return text.toString().getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public Optional<List<StoreItem>> decode(byte[] bytes) {
			return Optional.of(new String(bytes, StandardCharsets.UTF_8).lines()
				.map((l) -> new StoreItem(l.substring(0, 1), l.substring(2)))
				.toList());
		}

	}

}
