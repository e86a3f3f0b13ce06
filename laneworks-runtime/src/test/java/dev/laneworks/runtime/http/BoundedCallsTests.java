package dev.laneworks.runtime.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

import io.vavr.control.Either;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BoundedCalls}.
 */
@Timeout(60)
class BoundedCallsTests {

	private final BlockingQueue<Either<IOException, WholeResponse.Received>> answers = new ArrayBlockingQueue<>(10);

	private final IoWorker io = IoWorker.start(1, 1);

	private final BoundedCalls calls = new BoundedCalls(new HttpCaller(this.io.worker(), this.io.buffers()),
			this.io.worker().getIoThread());

	private ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
		this.io.worker().shutdownNow();
	}

	@Test
	void aCallWithoutAnswerEndsAtItsLimitAndItsConnectionCloses() throws Exception {
		call(Duration.ofMillis(50));
		try (Socket accepted = this.server.accept()) {
			assertThat(this.answers.take().getLeft().getMessage()).contains("did not answer within 50 ms");
			accepted.getInputStream().readAllBytes();
		}
		assertThat(this.answers).isEmpty();
	}

	@Test
	void anAnswerInTimeIsPassedOnOnce() throws Exception {
		call(Duration.ofSeconds(50));
		try (Socket accepted = this.server.accept()) {
			accepted.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi".getBytes(StandardCharsets.UTF_8));
			assertThat(this.answers.take().get().text()).isEqualTo("hi");
		}
		assertThat(this.answers).isEmpty();
	}

	private void call(Duration limit) {
		URI uri = URI.create("http://127.0.0.1:" + this.server.getLocalPort());
		this.calls.call(HttpCall.of(uri, "GET", "/"), 100, limit, this.answers::add);
	}

}
