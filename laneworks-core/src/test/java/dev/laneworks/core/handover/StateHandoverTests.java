package dev.laneworks.core.handover;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.handover.StateTaker.Taken;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link StateGiver} and {@link StateTaker}.
 */
class StateHandoverTests {

	private static final String A = "10.0.0.1:7200";

	private static final String B = "10.0.0.2:7200";

	private final Timers timers = new Timers();

	private final List<Taken> taken = new ArrayList<>();

	private final List<String> questions = new ArrayList<>();

	/** Pieces on their way to the taker. */
	private final List<Sent> underWay = new ArrayList<>();

	private Optional<StoreState> known = Optional.of(state(100, 200_000));

	private boolean silent;

	private final StateGiver giver = new StateGiver((t) -> this.known, new TextForm());

	private final StateTaker taker = new StateTaker(new TextForm(), () -> List.of(A, B), this::ask, this.taken::add,
			this.timers);

	private long now;

	@Test
	void takesAStateOfManyPiecesWhole() {
		this.taker.start(0);
		deliverAll();
		assertThat(this.taken).containsExactly(new Taken(A, this.known.get()));
	}

	@Test
	void lostRepeatedAndReorderedPiecesChangeNothing() {
		Random random = new Random(7);
		this.taker.start(0);
		for (int i = 0; i < 400 && this.taken.isEmpty(); i++) {
			List<Sent> arriving = new ArrayList<>(this.underWay);
			arriving.addAll(this.underWay);
			this.underWay.clear();
			Collections.shuffle(arriving, random);
			arriving.stream().filter((s) -> random.nextInt(3) > 0).forEach(this::deliver);
			pass(StateTaker.ASK_MILLIS);
		}
		assertThat(this.taken.stream().map(Taken::state).toList()).containsExactly(this.known.get());
	}

	@Test
	void aGiverThatFallsSilentIsGivenUpForAnother() {
		this.taker.start(0);
		deliver(this.underWay.get(0));
		this.underWay.clear();
		this.silent = true;
		pass(160);
		this.silent = false;
		assertThat(this.questions).contains(B + " -1 0");
		pass(StateTaker.ASK_MILLIS);
		deliverAll();
		assertThat(this.taken).hasSize(1);
	}

	@Test
	void aLaterRevisionReplacesWhatWasGatheredAndAnEarlierOneDoesNot() {
		this.taker.start(0);
		deliver(this.underWay.get(0));
		List<Sent> old = List.copyOf(this.underWay);
		this.underWay.clear();
		StoreState later = state(101, 20_000);
		StateGiver other = new StateGiver((t) -> Optional.of(later), new TextForm());
		other.answer(new StateQuestion(StateQuestion.ANY_REVISION, 0), 0)
			.forEach((p) -> this.underWay.add(new Sent(B, p)));
		deliver(this.underWay.remove(0));
		old.forEach(this::deliver);
		deliverAll();
		assertThat(this.taken).containsExactly(new Taken(B, later));
	}

	@Test
	void aStateThatChangesMeanwhileIsTakenAsItWas() {
		StoreState first = this.known.get();
		this.taker.start(0);
		this.known = Optional.of(state(101, 200_000));
		deliverAll();
		assertThat(this.taken).containsExactly(new Taken(A, first));
	}

	@Test
	void strangersAndTheTimeAfterwardsAreNotHeard() {
		StatePiece piece = new StatePiece(900, 0, 0, 1, "k=v".getBytes(StandardCharsets.UTF_8));
		this.taker.received(A, piece, 0);
		this.taker.start(0);
		this.taker.received("10.9.9.9:7200", piece, 0);
		assertThat(this.taken).isEmpty();
		this.taker.stop();
		this.taker.received(A, piece, 0);
		pass(500);
		assertThat(this.taken).isEmpty();
		assertThat(this.questions).hasSize(2);
	}

	@Test
	void whoKnowsNothingAnswersNothing() {
		this.known = Optional.empty();
		assertThat(this.giver.answer(new StateQuestion(StateQuestion.ANY_REVISION, 0), 0)).isEmpty();
	}

	private void ask(String address, StateQuestion question) {
		this.questions.add(address + ' ' + question.revision() + ' ' + question.firstPiece());
		if (!this.silent && address.equals(A)) {
			this.giver.answer(question, this.now).forEach((p) -> this.underWay.add(new Sent(A, p)));
		}
	}

	private void deliverAll() {
		while (!this.underWay.isEmpty()) {
			deliver(this.underWay.remove(0));
		}
	}

	private void deliver(Sent sent) {
		this.taker.received(sent.from, sent.piece, this.now);
	}

	private void pass(long millis) {
		this.now += millis;
		this.timers.run(this.now);
	}

	private static StoreState state(long revision, int length) {
		return new StoreState(revision, 300, List.of(new StoreItem("a", "x".repeat(length)), new StoreItem("b", "y")));
	}

	private record Sent(String from, StatePiece piece) {

	}

	/**
	 * Lines of keys and values.
	 */
	private static final class TextForm implements StateForm {

		@Override
		public byte[] write(List<StoreItem> items) {
			StringBuilder text = new StringBuilder();
			items.forEach((i) -> text.append(i.key()).append('=').append(i.value()).append('\n'));
			return text.toString().getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public Optional<List<StoreItem>> read(byte[] bytes) {
			return Optional.of(new String(bytes, StandardCharsets.UTF_8).lines()
				.map((l) -> new StoreItem(l.substring(0, 1), l.substring(2)))
				.toList());
		}

	}

}
