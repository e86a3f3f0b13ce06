package dev.laneworks.core.handover;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.laneworks.core.time.Timers;

/**
 * Takes the state of a store from other processes, while this one can't read it itself.
 * <p>
 * Pieces may be lost, come twice or in any order. All are taken from one process and one
 * revision; a later revision replaces what was gathered, an earlier one is passed over. A
 * process that falls silent is given up for the next that answers. Not thread-safe.
 *
 * @since 0.2
 */
public final class StateTaker {

	/** How often it is asked for what is missing, in milliseconds. */
	static final long ASK_MILLIS = 40;

	/** After how long without a piece its giver is given up, in milliseconds. */
	private static final long SILENCE_MILLIS = 150;

	private final StateForm form;

	private final Supplier<List<String>> peers;

	private final BiConsumer<String, StateQuestion> questions;

	private final Consumer<Taken> receiver;

	private final Timers timers;

	private boolean asking;

	private Optional<Gathered> gathered = Optional.empty();

	/**
	 * Create a taker; {@link #start(long)} begins it.
	 * @param form the form in which items travel
	 * @param peers gives the addresses of the processes that may know a state
	 * @param questions sends a question to an address
	 * @param receiver takes the state once it is whole
	 * @param timers what is due later
	 */
	public StateTaker(StateForm form, Supplier<List<String>> peers, BiConsumer<String, StateQuestion> questions,
			Consumer<Taken> receiver, Timers timers) {
		this.form = form;
		this.peers = peers;
		this.questions = questions;
		this.receiver = receiver;
		this.timers = timers;
	}

	/**
	 * Start to ask, until a state is whole or {@link #stop()} is called.
	 * @param now the time in milliseconds
	 */
	public void start(long now) {
		this.asking = true;
		ask(now);
	}

	/**
	 * Stop asking, because the state was read otherwise.
	 */
	public void stop() {
		this.asking = false;
		this.gathered = Optional.empty();
	}

	/**
	 * Take a piece.
	 * @param from the address that it came from
	 * @param piece the piece
	 * @param now the time in milliseconds
	 */
	public void received(String from, StatePiece piece, long now) {
		if (!this.asking || !this.peers.get().contains(from)) {
			return;
		}
		if (this.gathered.filter((g) -> g.revision() >= piece.revision()).isEmpty()) {
			this.gathered = Optional.of(new Gathered(from, piece));
		}
		Gathered state = this.gathered.get();
		if (!state.take(from, piece, now)) {
			return;
		}
		if (state.isWhole()) {
			finish(state);
		}
		else if (state.missing() % StateGiver.WINDOW == 0) {
			this.questions.accept(from, new StateQuestion(state.revision(), state.missing()));
		}
	}

	private void finish(Gathered state) {
		this.gathered = Optional.empty();
		this.form.read(state.bytes()).ifPresent((items) -> {
			this.asking = false;
			this.receiver.accept(new Taken(state.from(), new StoreState(state.revision(), state.ageMillis(), items)));
		});
	}

	private void ask(long now) {
		if (!this.asking) {
			return;
		}
		this.gathered = this.gathered.filter((g) -> now - g.heardAt() <= SILENCE_MILLIS);
		if (this.gathered.isPresent()) {
			Gathered state = this.gathered.get();
			this.questions.accept(state.from(), new StateQuestion(state.revision(), state.missing()));
		}
		else {
			this.peers.get().forEach((p) -> this.questions.accept(p, new StateQuestion(StateQuestion.ANY_REVISION, 0)));
		}
		this.timers.at(now + ASK_MILLIS, this::ask);
	}

	/**
	 * A state that was taken.
	 *
	 * @param from the address of the process that handed it over
	 * @param state the state
	 */
	public record Taken(String from, StoreState state) {

	}

	/**
	 * What was gathered of one state from one process.
	 */
	private static final class Gathered {

		private final String from;

		private final long revision;

		private final long ageMillis;

		private final byte[][] pieces;

		private long heardAt;

		Gathered(String from, StatePiece first) {
			this.from = from;
			this.revision = first.revision();
			this.ageMillis = first.ageMillis();
			this.pieces = new byte[first.count()][];
		}

		String from() {
			return this.from;
		}

		long revision() {
			return this.revision;
		}

		long ageMillis() {
			return this.ageMillis;
		}

		long heardAt() {
			return this.heardAt;
		}

		// Returns whether the piece belongs here and was missing.
		boolean take(String sender, StatePiece piece, long now) {
			boolean isNew = sender.equals(this.from) && piece.revision() == this.revision
					&& piece.count() == this.pieces.length && this.pieces[piece.number()] == null;
			if (isNew) {
				this.pieces[piece.number()] = piece.data();
				this.heardAt = now;
			}
			return isNew;
		}

		// The number of the first piece that is missing.
		int missing() {
			int first = 0;
			while (first < this.pieces.length && this.pieces[first] != null) {
				first++;
			}
			return first;
		}

		boolean isWhole() {
			return missing() == this.pieces.length;
		}

		byte[] bytes() {
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			for (byte[] piece : this.pieces) {
				all.writeBytes(piece);
			}
			return all.toByteArray();
		}

	}

}
