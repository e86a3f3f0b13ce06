package dev.laneworks.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests that chunks are checked wherever the network splits them.
 */
class ChunkedBodyReaderTests {

	@Test
	void validBodiesPass() {
		for (String body : List.of("0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n", "003;a=\"b\"\r\na\r\n\r\n0\r\n\r\n",
				"A\r\n0123456789\r\na \t;x\r\n\r\n0\r\n\r\nabc\r\n0\r\nX: y\r\nY:\r\n\r\n",
				"1\r\na\r\n0\r\n\r\nwhat follows is no part of the body")) {
			for (int partBytes = 1; partBytes <= body.length(); partBytes++) {
				int bytes = partBytes;
				assertDoesNotThrow(() -> acceptInParts(body, bytes), body);
			}
		}
	}

	@Test
	void malformedBodiesFail() {
		for (String body : List.of("2\r\nabc\r\n", "4\r\nabc\r\n0\r\n\r\n", "3\nabc\r\n", "3\r\nabc\n", "3\r\nabc\r0",
				"\r\n", ";a\r\n", " 3\r\n", "3 4\r\n", "3x\r\n", "-3\r\n", "\u00e93\r\n", "3;\u0000\r\n", "3\r\r\n",
				"1000000000001\r\n", "ffffffffffffffffffff\r\n", "0\r\nX\r\n", "0\r\nX: y\n", "0\r\n\n", "0\r\n: y\r\n",
				"0\r\nX: a\rb\r\n")) {
			for (int partBytes = 1; partBytes <= body.length(); partBytes++) {
				int bytes = partBytes;
				assertThrows(MalformedResponseException.class, () -> acceptInParts(body, bytes), body);
			}
		}
	}

	// Guards against events that are passed on before the size of their chunk has been
	// checked.
	@Test
	void dataOfAStreamedChunkIsUnverifiedUntilItsEnd() throws IOException {
		ChunkedBodyReader reader = new ChunkedBodyReader(true);
		reader.accept(StandardCharsets.ISO_8859_1.encode("100000\r\n" + "x".repeat(0x100000)));
		assertThat(reader.unverifiedBytes()).isEqualTo(8 + 0x100000);
		reader.accept(StandardCharsets.ISO_8859_1.encode("\r\n"));
		assertThat(reader.unverifiedBytes()).isEqualTo(0);
	}

	@Test
	void streamedChunkThatCannotBeHeldFailsAtItsSize() throws IOException {
		String size = "100001\r\n";
		new ChunkedBodyReader(false).accept(StandardCharsets.ISO_8859_1.encode(size));
		assertThrows(MalformedResponseException.class,
				() -> new ChunkedBodyReader(true).accept(StandardCharsets.ISO_8859_1.encode(size)));
	}

	private static void acceptInParts(String body, int partBytes) throws IOException {
		acceptInParts(body, partBytes, new ChunkedBodyReader(false));
		acceptInParts(body, partBytes, new ChunkedBodyReader(true));
	}

	private static void acceptInParts(String body, int partBytes, ChunkedBodyReader reader) throws IOException {
		ByteBuffer bytes = StandardCharsets.ISO_8859_1.encode(body);
		while (bytes.hasRemaining()) {
			int count = Math.min(partBytes, bytes.remaining());
			reader.accept(bytes.slice().limit(count));
			bytes.position(bytes.position() + count);
		}
	}

}
