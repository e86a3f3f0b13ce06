package dev.laneworks.runtime.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link TimedHttpClient}.
 */
@Timeout(60)
class TimedHttpClientTests extends LoopbackTestSupport {

	/** Far more than the buffers of both sockets hold. */
	private static final int MAX_PARTS = 50_000;

	private final BlockingQueue<Either<IOException, ResponseCollector.Response>> answers = new ArrayBlockingQueue<>(10);

	private final TimedHttpClient client = new TimedHttpClient(this.httpClient, this.io.worker().getIoThread());

	@Test
	void unansweredCallTimesOutAndClosesConnection() throws Exception {
		call(Duration.ofMillis(50));
		try (Socket accepted = this.server.accept()) {
			assertThat(this.answers.take().getLeft().getMessage()).contains("did not answer within 50 ms");
			accepted.getInputStream().readAllBytes();
		}
		assertThat(this.answers).isEmpty();
	}

	@Test
	void passesTimelyAnswerOnce() throws Exception {
		call(Duration.ofSeconds(50));
		try (Socket accepted = this.server.accept()) {
			accepted.getOutputStream()
				.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi".getBytes(StandardCharsets.UTF_8));
			assertThat(this.answers.take().get().text()).isEqualTo("hi");
		}
		assertThat(this.answers).isEmpty();
	}

	// Guards against a connection over which a server sends without end.
	@Test
	void closesConnectionOfAResponseThatIsTooLarge() throws Exception {
		call(Duration.ofSeconds(50));
		try (Socket accepted = this.server.accept()) {
			byte[] part = new byte[1_000];
			accepted.getOutputStream().write("HTTP/1.1 200 OK\r\n\r\n".getBytes(StandardCharsets.UTF_8));
			assertThrows(SocketException.class, () -> {
				for (int i = 0; i < MAX_PARTS; i++) {
					accepted.getOutputStream().write(part);
				}
			});
			assertThat(this.answers.take().getLeft()).isInstanceOf(ResponseTooLargeException.class);
		}
	}

	private void call(Duration timeout) {
		this.client.call(get(), 100, timeout, this.answers::add);
	}

}
