package dev.laneworks.runtime.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes on the head of a response only when it is complete and valid, and each chunk of
 * a body only when its end has shown that its size is right; otherwise it fails the
 * connection, for interim responses as well.
 * <p>
 * The HTTP parser ignores a length that it does not understand, ends a head at some
 * malformed lines, and turns others into fields. It therefore reads heads as a
 * {@link ResponseHeadReader} has written them. Bodies pass unchanged. Used on the I/O
 * thread of one connection.
 */
final class ResponseFramingConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private final ResponseHeadReader heads = new ResponseHeadReader();

	private final Runnable progress;

	/** Null unless the body is in chunks. */
	private ChunkedBodyReader chunks;

	/** Bytes that may only be passed on when more have been received. */
	private final ByteArrayOutputStream held = new ByteArrayOutputStream();

	/** Bytes that have been checked, but not read yet. */
	private ByteBuffer ready = ByteBuffer.allocate(0);

	/**
	 * Create a conduit.
	 * @param next the conduit from which the connection reads
	 * @param progress runs when data of a chunk is received
	 */
	ResponseFramingConduit(StreamSourceConduit next, Runnable progress) {
		super(next);
		this.progress = progress;
	}

	@Override
	public int read(ByteBuffer dst) throws IOException {
		while (!this.ready.hasRemaining()) {
			if (this.heads.hasNoBody()) {
				return -1;
			}
			if (this.heads.isComplete() && !this.heads.isChunked()) {
				return super.read(dst);
			}
			int count = receive(dst);
			if (count <= 0) {
				return count;
			}
		}
		return readReady(dst);
	}

	// Uses the free space of the destination, but leaves its position unchanged.
	private int receive(ByteBuffer dst) throws IOException {
		int start = dst.position();
		int count = super.read(dst);
		ByteBuffer received = dst.duplicate().flip().position(start);
		dst.position(start);
		while (received.hasRemaining() && !this.heads.isComplete()) {
			this.heads.accept(received.get());
		}
		if (this.heads.hasNoBody()) {
			received.position(received.limit());
		}
		if (this.heads.isChunked()) {
			acceptChunks(received.duplicate());
		}
		this.held.writeBytes(this.heads.takeHeads());
		while (received.hasRemaining()) {
			this.held.write(received.get());
		}
		release();
		return count;
	}

	// Data that is held back counts as a part of the body. Its amount has a limit.
	private void acceptChunks(ByteBuffer received) throws IOException {
		if (this.chunks == null) {
			this.chunks = new ChunkedBodyReader(this.heads.isEventStream());
		}
		this.chunks.accept(received);
		if (this.chunks.isInData()) {
			this.progress.run();
		}
	}

	private void release() {
		int unverifiedBytes = (this.chunks != null) ? this.chunks.unverifiedBytes() : 0;
		int count = this.held.size() - unverifiedBytes;
		if (count > 0) {
			byte[] bytes = this.held.toByteArray();
			this.ready = ByteBuffer.wrap(bytes, 0, count);
			this.held.reset();
			this.held.write(bytes, count, bytes.length - count);
		}
	}

	private int readReady(ByteBuffer dst) {
		int count = Math.min(dst.remaining(), this.ready.remaining());
		dst.put(this.ready.slice().limit(count));
		this.ready.position(this.ready.position() + count);
		return count;
	}

	// The socket does not report bytes that have been received before.
	@Override
	public void resumeReads() {
		if (this.ready.hasRemaining()) {
			wakeupReads();
		}
		else {
			super.resumeReads();
		}
	}

	@Override
	public long read(ByteBuffer[] dsts, int offs, int len) throws IOException {
		for (int i = offs; i < offs + len; i++) {
			if (dsts[i].hasRemaining()) {
				return read(dsts[i]);
			}
		}
		return 0;
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
	}

	@Override
	public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
		return Conduits.transfer(this, count, throughBuffer, target);
	}

}
