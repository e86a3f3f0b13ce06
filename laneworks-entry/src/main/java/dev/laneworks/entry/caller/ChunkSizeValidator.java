package dev.laneworks.entry.caller;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import io.undertow.conduits.ChunkedStreamSourceConduit;
import io.undertow.conduits.ReadDataStreamSourceConduit;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Source conduit that passes on a chunked body as received and fails on a chunk size that
 * is invalid.
 * <p>
 * Undertow keeps flags in the upper bits of the size and takes a body with a chunk of
 * such a size as complete, so that its remainder would be read as another request. After
 * a failure Undertow closes the connection.
 */
final class ChunkSizeValidator extends AbstractStreamSourceConduit<StreamSourceConduit> {

	/** Hexadecimal digits that are allowed; far above any body limit. */
	private static final int MAX_DIGITS = 8;

	private static final int RADIX = 16;

	private State state = State.SIZE;

	private int digits;

	private long size;

	private ChunkSizeValidator(StreamSourceConduit next) {
		super(next);
	}

	/**
	 * Validate the chunks of a request's body.
	 * @param exchange the exchange whose body has not been read yet
	 */
	static void install(HttpServerExchange exchange) {
		if (exchange.isRequestComplete() || !exchange.getRequestHeaders().contains("Transfer-Encoding")
				|| !(exchange.getConnection() instanceof HttpServerConnection connection)) {
			return;
		}
		ConduitStreamSourceChannel source = connection.getChannel().getSourceChannel();
		StreamSourceConduit received = new ReadDataStreamSourceConduit(connection.getOriginalSourceConduit(),
				connection);
		source.setConduit(new ChunkedStreamSourceConduit(new ChunkSizeValidator(received), exchange,
				(c) -> Connectors.terminateRequest(exchange)));
	}

	@Override
	public int read(ByteBuffer destination) throws IOException {
		int from = destination.position();
		int count = this.next.read(destination);
		for (int i = from; i < destination.position(); i++) {
			accept(destination.get(i));
		}
		return count;
	}

	@Override
	public long read(ByteBuffer[] destinations, int offset, int length) throws IOException {
		for (int i = offset; i < offset + length; i++) {
			if (destinations[i].hasRemaining()) {
				return read(destinations[i]);
			}
		}
		return 0;
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) {
		throw new UnsupportedOperationException("chunks are read through buffers only");
	}

	@Override
	public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) {
		throw new UnsupportedOperationException("chunks are read through buffers only");
	}

	private void accept(byte value) throws IOException {
		switch (this.state) {
			case SIZE -> acceptSize(value);
			case EXTENSION -> {
				if (value == '\n') {
					endSizeLine();
				}
			}
			case DATA -> {
				this.size--;
				if (this.size == 0) {
					this.state = State.DATA_END;
				}
			}
			case DATA_END -> {
				if (value == '\n') {
					this.state = State.SIZE;
				}
			}
			case COMPLETE -> {
				// Trailers and further requests.
			}
		}
	}

	private void acceptSize(byte value) throws IOException {
		int digit = Character.digit(value, RADIX);
		if (digit >= 0 && this.digits < MAX_DIGITS) {
			this.digits++;
			this.size = this.size * RADIX + digit;
		}
		else if (digit >= 0 || this.digits == 0 || "\r\n; \t".indexOf(value) < 0) {
			throw new IOException("a chunk size is not a hexadecimal number of at most " + MAX_DIGITS + " digits");
		}
		else if (value == '\n') {
			endSizeLine();
		}
		else {
			this.state = State.EXTENSION;
		}
	}

	private void endSizeLine() {
		this.state = (this.size == 0) ? State.COMPLETE : State.DATA;
		this.digits = 0;
	}

	private enum State {

		SIZE, EXTENSION, DATA, DATA_END, COMPLETE

	}

}
