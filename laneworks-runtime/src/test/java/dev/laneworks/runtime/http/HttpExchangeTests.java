package dev.laneworks.runtime.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.URI;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link HttpExchange}.
 */
@Timeout(60)
class HttpExchangeTests {

	private final IoWorker io = IoWorker.start(1, 1);

	private final HttpCaller caller = new HttpCaller(this.io.worker(), this.io.buffers());

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
	void aServerThatWritesNothingHearsOfAReset() throws Exception {
		HttpExchange exchange = call();
		try (Socket accepted = this.server.accept()) {
			assertThat(accepted.getInputStream().read()).isEqualTo('G');
			onThread(exchange::reset);
			assertThrows(SocketException.class, () -> accepted.getInputStream().readAllBytes());
		}
	}

	@Test
	void aCallThatIsAbandonedClosesItsConnection() throws Exception {
		HttpExchange exchange = call();
		try (Socket accepted = this.server.accept()) {
			assertThat(accepted.getInputStream().read()).isEqualTo('G');
			onThread(exchange::abandon);
			assertThat(new String(accepted.getInputStream().readAllBytes())).startsWith("ET / HTTP/1.1");
		}
	}

	private HttpExchange call() {
		URI uri = URI.create("http://127.0.0.1:" + this.server.getLocalPort());
		return this.caller.call(HttpCall.of(uri, "GET", "/"), new WholeResponse(100, (r) -> {
		}));
	}

	private void onThread(Runnable action) throws InterruptedException {
		CountDownLatch done = new CountDownLatch(1);
		this.io.worker().getIoThread().execute(() -> {
			action.run();
			done.countDown();
		});
		done.await();
	}

}
