package dev.laneworks.runtime.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ResponseCollector}.
 */
class ResponseCollectorTests {

	private static final int MAX_BYTES = 10;

	private final List<Either<IOException, ResponseCollector.Response>> results = new ArrayList<>();

	private final ResponseCollector collector = new ResponseCollector(MAX_BYTES, this.results::add);

	@Test
	void collectsABodyOfTheLargestSize() {
		this.collector.onHead(head("10"));
		this.collector.onBody(ByteBuffer.wrap(new byte[4]));
		this.collector.onBody(ByteBuffer.wrap(new byte[6]));
		this.collector.onComplete();
		assertThat(this.results).hasSize(1);
		assertThat(this.results.get(0).get().body()).hasLength(MAX_BYTES);
	}

	// Guards against reading a body to its end although it is known to be too large.
	@Test
	void reportsABodyThatIsTooLargeAtItsHead() {
		this.collector.onHead(head("11"));
		assertTooLarge();
		this.collector.onBody(ByteBuffer.wrap(new byte[4]));
		this.collector.onConnectionBroken(new IOException("cancelled"));
		assertTooLarge();
	}

	@Test
	void reportsABodyOfUnknownLengthAsSoonAsItIsTooLarge() {
		this.collector.onHead(new HttpResponseHead(200, List.of()));
		this.collector.onBody(ByteBuffer.wrap(new byte[8]));
		assertThat(this.results).isEmpty();
		this.collector.onBody(ByteBuffer.wrap(new byte[8]));
		assertTooLarge();
		this.collector.onComplete();
		assertTooLarge();
	}

	private void assertTooLarge() {
		assertThat(this.results).hasSize(1);
		assertThat(this.results.get(0).getLeft()).isInstanceOf(ResponseTooLargeException.class);
	}

	private static HttpResponseHead head(String length) {
		return new HttpResponseHead(200, List.of(new HttpHeader("Content-Length", length)));
	}

}
