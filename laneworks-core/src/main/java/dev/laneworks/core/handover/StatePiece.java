package dev.laneworks.core.handover;

import java.util.Objects;

/**
 * One piece of the bytes of a state, small enough for a datagram.
 *
 * @param revision the state's revision
 * @param ageMillis the state's age when its bytes were made, in milliseconds
 * @param number the number of this piece, from 0
 * @param count how many pieces there are
 * @param data the piece's bytes
 * @since 0.2
 */
public record StatePiece(long revision, long ageMillis, int number, int count, byte[] data) {

	/**
	 * The most pieces of a state; a configuration of a megabyte has about seventy.
	 */
	public static final int MOST_PIECES = 512;

	public StatePiece {
		Objects.requireNonNull(data, "data must not be null");
		if (revision < 0 || ageMillis < 0 || count < 1 || count > MOST_PIECES || number < 0 || number >= count) {
			throw new IllegalArgumentException("there is no piece " + number + " of " + count);
		}
	}

}
