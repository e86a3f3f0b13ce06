package dev.laneworks.runtime.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base class for tests with an HTTP client and a server socket on the loopback address;
 * the test itself answers the requests.
 */
abstract class LoopbackTestSupport {

	final IoWorker io = IoWorker.start(1, 1);

	final AsyncHttpClient httpClient = new AsyncHttpClient(this.io.worker(), this.io.buffers());

	ServerSocket server;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
	}

	@AfterEach
	void close() throws IOException {
		this.server.close();
		this.io.worker().shutdownNow();
	}

	HttpRequest get() {
		return HttpRequest.of(URI.create("http://127.0.0.1:" + this.server.getLocalPort()), "GET", "/");
	}

}
