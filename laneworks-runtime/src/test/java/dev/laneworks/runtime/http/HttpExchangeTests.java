package dev.laneworks.runtime.http;

import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link HttpExchange}.
 */
@Timeout(60)
class HttpExchangeTests extends LoopbackTestSupport {

	@Test
	void resetReachesServerThatWritesNothing() throws Exception {
		HttpExchange exchange = call();
		try (Socket accepted = this.server.accept()) {
			assertThat(accepted.getInputStream().read()).isEqualTo('G');
			runOnIoThread(exchange::cancelWithReset);
			assertThrows(SocketException.class, () -> accepted.getInputStream().readAllBytes());
		}
	}

	@Test
	void abandonClosesConnection() throws Exception {
		HttpExchange exchange = call();
		try (Socket accepted = this.server.accept()) {
			assertThat(accepted.getInputStream().read()).isEqualTo('G');
			runOnIoThread(exchange::cancel);
			assertThat(new String(accepted.getInputStream().readAllBytes())).startsWith("ET / HTTP/1.1");
		}
	}

	private HttpExchange call() {
		return this.httpClient.send(get(), new ResponseCollector(100, (r) -> {
		}));
	}

	private void runOnIoThread(Runnable action) throws InterruptedException {
		CountDownLatch done = new CountDownLatch(1);
		this.io.worker().getIoThread().execute(() -> {
			action.run();
			done.countDown();
		});
		done.await();
	}

}
