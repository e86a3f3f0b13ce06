package dev.laneworks.core.stream;

import java.util.Arrays;

/**
 * Holds the output of one generation, piece by piece.
 * <p>
 * Pieces lie end to end in one array, so that a token of a few bytes costs its bytes and
 * one {@code int}. Not thread-safe.
 *
 * @since 0.1
 */
public final class ChunkLog {

	private static final int INITIAL_BYTES = 256;

	private static final int INITIAL_CHUNKS = 32;

	private byte[] bytes = new byte[INITIAL_BYTES];

	private int[] ends = new int[INITIAL_CHUNKS];

	private int size;

	/**
	 * Add a piece.
	 * @param data the piece; copied
	 */
	public void append(byte[] data) {
		int start = byteLength();
		int end = Math.addExact(start, data.length);
		if (end > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(end, this.bytes.length * 2));
		}
		if (this.size == this.ends.length) {
			this.ends = Arrays.copyOf(this.ends, this.size * 2);
		}
		System.arraycopy(data, 0, this.bytes, start, data.length);
		this.ends[this.size++] = end;
	}

	/**
	 * Return the number of pieces.
	 * @return the offset that the next piece will have
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Return the number of bytes in all pieces.
	 * @return the length in bytes
	 */
	public int byteLength() {
		return (this.size != 0) ? this.ends[this.size - 1] : 0;
	}

	/**
	 * Return a copy of the piece at an offset.
	 * @param offset the number of pieces before it
	 * @return the piece
	 */
	public byte[] get(int offset) {
		if (offset < 0 || offset >= this.size) {
			throw new IndexOutOfBoundsException("offset " + offset + " is outside a log of " + this.size + " pieces");
		}
		int start = (offset != 0) ? this.ends[offset - 1] : 0;
		return Arrays.copyOfRange(this.bytes, start, this.ends[offset]);
	}

}
