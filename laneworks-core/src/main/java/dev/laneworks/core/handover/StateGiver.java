package dev.laneworks.core.handover;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.LongFunction;

/**
 * Hands this process's state over to others that ask for it.
 * <p>
 * The bytes are made once and kept for a moment, so that a state which goes on changing
 * can still be taken whole. Not thread-safe.
 *
 * @since 0.2
 */
public final class StateGiver {

	/** The bytes of a piece; with its head well below what a datagram may have. */
	static final int PIECE_BYTES = 16 * 1024;

	/** The most pieces in answer to one question, so that a link is not flooded. */
	static final int WINDOW = 8;

	/**
	 * How long bytes once made are handed out, in milliseconds; a megabyte takes a few
	 * dozen.
	 */
	private static final long KEEP_MILLIS = 2_000;

	private final LongFunction<Optional<StoreState>> state;

	private final StateForm form;

	private List<StatePiece> pieces = List.of();

	private long madeAt;

	/**
	 * Create a giver.
	 * @param state gives the state at a time in milliseconds, if this process knows it
	 * @param form the form in which items travel
	 */
	public StateGiver(LongFunction<Optional<StoreState>> state, StateForm form) {
		this.state = state;
		this.form = form;
	}

	/**
	 * Answer a question.
	 * @param question the question
	 * @param now the time in milliseconds
	 * @return the next pieces that the asker lacks; from the first one on where it asks
	 * for another revision than the one handed out now; none if this process knows no
	 * state
	 */
	public List<StatePiece> answer(StateQuestion question, long now) {
		if (this.pieces.isEmpty() || now - this.madeAt > KEEP_MILLIS) {
			this.pieces = this.state.apply(now).map(this::cut).orElse(List.of());
			this.madeAt = now;
		}
		boolean isSame = !this.pieces.isEmpty() && this.pieces.get(0).revision() == question.revision();
		int first = isSame ? question.firstPiece() : 0;
		return this.pieces.stream().skip(first).limit(WINDOW).toList();
	}

	private List<StatePiece> cut(StoreState known) {
		byte[] bytes = this.form.write(known.items());
		int count = Math.max(1, (bytes.length + PIECE_BYTES - 1) / PIECE_BYTES);
		if (count > StatePiece.MOST_PIECES) {
			return List.of();
		}
		List<StatePiece> cut = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			byte[] data = Arrays.copyOfRange(bytes, i * PIECE_BYTES, Math.min(bytes.length, (i + 1) * PIECE_BYTES));
			cut.add(new StatePiece(known.revision(), known.ageMillis(), i, count, data));
		}
		return cut;
	}

}
