package dev.laneworks.core.stream;

import java.util.Arrays;

/**
 * Append-only log of the output chunks of one generation.
 * <p>
 * All chunks share one byte array, so that the overhead of a chunk is one {@code int}.
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class ChunkLog {

	private static final int INITIAL_BYTES = 256;

	private static final int INITIAL_CHUNKS = 32;

	private byte[] bytes = new byte[INITIAL_BYTES];

	private int[] endOffsets = new int[INITIAL_CHUNKS];

	private int size;

	/**
	 * Append a chunk.
	 * @param data the bytes of the chunk; copied
	 */
	public void append(byte[] data) {
		int start = byteLength();
		int end = Math.addExact(start, data.length);
		if (end > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(end, this.bytes.length * 2));
		}
		if (this.size == this.endOffsets.length) {
			this.endOffsets = Arrays.copyOf(this.endOffsets, this.size * 2);
		}
		System.arraycopy(data, 0, this.bytes, start, data.length);
		this.endOffsets[this.size++] = end;
	}

	/**
	 * Return the number of chunks.
	 * @return the number, which is also the offset of the next chunk
	 */
	public int size() {
		return this.size;
	}

	/**
	 * Return the total size of all chunks.
	 * @return the size in bytes
	 */
	public int byteLength() {
		return (this.size != 0) ? this.endOffsets[this.size - 1] : 0;
	}

	/**
	 * Return a copy of the chunk at an offset.
	 * @param offset the number of chunks before it
	 * @return the bytes of the chunk
	 * @throws IndexOutOfBoundsException if there is no chunk at the offset
	 */
	public byte[] get(int offset) {
		if (offset < 0 || offset >= this.size) {
			throw new IndexOutOfBoundsException("offset " + offset + " is outside a log of " + this.size + " chunks");
		}
		int start = (offset != 0) ? this.endOffsets[offset - 1] : 0;
		return Arrays.copyOfRange(this.bytes, start, this.endOffsets[offset]);
	}

}
