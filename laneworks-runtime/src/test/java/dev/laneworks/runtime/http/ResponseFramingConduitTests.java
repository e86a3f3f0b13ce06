package dev.laneworks.runtime.http;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import org.junit.jupiter.api.Test;
import org.xnio.conduits.StreamSourceConduit;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests that a head is checked wherever the network splits it, and that the parser reads
 * it in one form only.
 */
class ResponseFramingConduitTests {

	private static final String BODY = "X: y\r\n\r\nHTTP/9.9 body\rof any\nbytes";

	private static final int SMALL_BUFFER_BYTES = 7;

	@Test
	void validResponsesPassUnchangedButForLineEnds() throws IOException {
		for (String line : List.of("HTTP/1.1 200 OK\r\n", "HTTP/1.0 599 \n",
				"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200 OK\r\n",
				"HTTP/1.1 100 C\nA: HTTP/1.1\n\nHTTP/1.1 103 E\r\n\r\nHTTP/1.1 404 X\r\n")) {
			assertReceived(line + BODY, line.replace("\r", "").replace("\n", "\r\n") + BODY);
		}
	}

	@Test
	void lengthAndWhiteSpaceHaveOneForm() throws IOException {
		assertReceived("HTTP/1.1 200 OK\nContent-Length:\t07\nX:y\ncontent-length: 7 \n\nbody",
				"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 7\r\n\r\nbody");
		assertReceived("HTTP/1.1 200 OK\r\ntransfer-encoding:Chunked\t\r\nX:\r\n\r\n0\r\n\r\n",
				"HTTP/1.1 200 OK\r\nX: \r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	}

	@Test
	void missingSpaceBehindTheStatusIsSupplied() throws IOException {
		assertReceived("HTTP/1.1 100\r\n\r\nHTTP/1.1 200\r\n" + BODY, "HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 \r\n" + BODY);
	}

	@Test
	void malformedLinesFail() {
		for (String line : List.of("HTTP/1.1 0200 X\r\n", "HTTP/1.1 600 X\r\n", "HTTP/1.1 200X\r\n",
				"HTTP/1.1 200\rX\r\n", "HTTP/1.1 200 X\rY\r\n", "HTTP/1.1 200\n", "HTTP/1.10 200 X\r\n",
				"HTTP/1.1 100 C\r\nA: b\r\n\r\nHTTP/1.1 0200 X\r\n", "HTTP/1.1 200 \u0001\r\n")) {
			assertFails(line);
		}
	}

	@Test
	void malformedHeadsFail() {
		for (String lines : List.of("X\r\n", " X: y\r\n", "X: y\r\n z\r\n", ":\r\n", ": z\r\n", "X : z\r\n",
				"X\u0000: y\r\n", "X: \u007f\r\n", "X: a\rb\r\n", "X: a\r\r\n", "Content-Length: +6\r\n\r\n",
				"Content-Length: 6\r\nContent-Length: 7\r\n\r\n", "Transfer-Encoding: gzip\r\n\r\n",
				"Transfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n")) {
			assertFails("HTTP/1.1 200 OK\r\n" + lines);
			if (!lines.endsWith("\n\r\n")) {
				assertFails("HTTP/1.1 100 C\r\n" + lines);
			}
		}
	}

	@Test
	void nothingOfAnIncompleteHeadIsPassedOn() throws IOException {
		String head = "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 0\r\n\r";
		for (int partBytes = 1; partBytes <= head.length(); partBytes++) {
			assertWithMessage("%s bytes at once", partBytes).that(readAll(head, partBytes, head.length())).isEmpty();
		}
	}

	@Test
	void malformedChunksFailBehindAnyHead() {
		String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
		for (String body : List.of("2\r\nabc\r\n", "3\r\nabc\r\n\r\n", "0\r\nX\r\n\r\n")) {
			assertFails(head + body);
			assertFails("HTTP/1.1 100 Continue\r\n\r\n" + head + body);
		}
	}

	private static void assertFails(String response) {
		for (int partBytes = 1; partBytes <= response.length(); partBytes++) {
			int bytes = partBytes;
			assertThrows(MalformedResponseException.class, () -> readAll(response, bytes, response.length()), response);
		}
	}

	private static void assertReceived(String sent, String expected) throws IOException {
		for (int partBytes = 1; partBytes <= sent.length(); partBytes++) {
			for (int bufferBytes : List.of(1, SMALL_BUFFER_BYTES, sent.length())) {
				assertWithMessage("%s bytes at once into %s", partBytes, bufferBytes)
					.that(readAll(sent, partBytes, bufferBytes))
					.isEqualTo(expected);
			}
		}
	}

	private static String readAll(String sent, int partBytes, int bufferBytes) throws IOException {
		StreamSourceConduit conduit = new ResponseFramingConduit(
				inParts(StandardCharsets.US_ASCII.encode(sent), partBytes), () -> {
				});
		StringBuilder received = new StringBuilder();
		ByteBuffer buffer = ByteBuffer.allocate(bufferBytes);
		while (conduit.read(buffer) >= 0) {
			received.append(StandardCharsets.US_ASCII.decode(buffer.flip()));
			buffer.clear();
		}
		return received.toString();
	}

	// Returns a source that supplies a fixed number of bytes with each read, and nothing
	// with each second one.
	private static StreamSourceConduit inParts(ByteBuffer source, int partBytes) {
		AtomicBoolean isEmpty = new AtomicBoolean();
		return (StreamSourceConduit) Proxy.newProxyInstance(StreamSourceConduit.class.getClassLoader(),
				new Class<?>[] { StreamSourceConduit.class }, (proxy, method, arguments) -> {
					ByteBuffer destination = (ByteBuffer) arguments[0];
					if (isEmpty.getAndSet(!isEmpty.get())) {
						return 0;
					}
					if (!source.hasRemaining()) {
						return -1;
					}
					int count = Math.min(Math.min(partBytes, source.remaining()), destination.remaining());
					destination.put(source.slice().limit(count));
					source.position(source.position() + count);
					return count;
				});
	}

}
