package dev.laneworks.sidecar.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.runtime.http.AsyncHttpClient;
import dev.laneworks.runtime.http.IoWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that a malformed answer of the target counts neither as output nor as a refusal,
 * whose request would have not run.
 */
@Timeout(60)
class HttpTargetClientTests implements TargetEvents {

	private static final List<String> MALFORMED_FIELDS = List.of("X Y: z", "X", ":", "X\u0000: y", "Content-Length: 1",
			"Transfer-Encoding: gzip");

	private static final String EVENT = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n";

	private static final String STATEMENT = "Laneworks-Verdict: not-run";

	private static final String CHUNKS = "Transfer-Encoding: chunked";

	private static final String EVENT_CHUNKS = "Content-Type: text/event-stream\r\n" + CHUNKS;

	private final IoWorker io = IoWorker.start(1, 1);

	private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

	private ServerSocket server;

	private HttpTargetClient client;

	@BeforeEach
	void listen() throws IOException {
		this.server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
		this.client = new HttpTargetClient(new AsyncHttpClient(this.io.worker(), this.io.buffers()),
				URI.create("http://127.0.0.1:" + this.server.getLocalPort()), this);
	}

	@AfterEach
	void stop() throws IOException {
		this.server.close();
		this.io.worker().shutdownNow();
	}

	@Test
	void malformedAnswerOfAServiceIsLost() throws Exception {
		for (String field : MALFORMED_FIELDS) {
			for (int status : new int[] { 200, 503 }) {
				this.client.start("g", request(OperationKind.SERVICE));
				assertWithMessage(field).that(answer(status, field, "hello")).isEqualTo("lost UNKNOWN");
			}
		}
	}

	@Test
	void malformedAnswerOfAnEngineIsBroken() throws Exception {
		for (String field : MALFORMED_FIELDS) {
			for (int status : new int[] { 200, 429, 503, 404 }) {
				this.client.start("g", request(OperationKind.COMPLETION));
				assertWithMessage(field).that(answer(status, field, EVENT)).isEqualTo("lost BROKEN");
			}
		}
	}

	@Test
	void malformedAnswerToALookUpFindsNothing() throws Exception {
		for (String field : MALFORMED_FIELDS) {
			this.client.lookUp("g");
			assertWithMessage(field).that(answer(200, field, "{}")).isEqualTo("found false");
		}
	}

	// Guards against a body that is delivered although a chunk has another size than the
	// one that it announces.
	@Test
	void malformedChunksAreNoOutput() throws Exception {
		for (String size : List.of("3", "5", "6", "8", "10", "", "0", "-4", "4 4", "ffffffffffffffff")) {
			String body = size + "\r\nhell\r\n1\r\no\r\n0\r\n\r\n";
			this.client.start("g", request(OperationKind.SERVICE));
			assertWithMessage(size).that(answerRaw(200, CHUNKS, body)).isEqualTo("lost UNKNOWN");
			String stream = size + "\r\n" + EVENT + "\r\n0\r\n\r\n";
			this.client.start("g", request(OperationKind.COMPLETION));
			assertWithMessage(size).that(answerRaw(200, EVENT_CHUNKS, stream)).isEqualTo("lost BROKEN");
		}
	}

	@Test
	void validChunksAreOutput() throws Exception {
		this.client.start("g", request(OperationKind.SERVICE));
		String body = "4\r\nhell\r\n1\r\no\r\n0\r\n\r\n";
		assertWithMessage("service").that(answerRaw(200, CHUNKS, body)).isEqualTo("chunk 0");
		this.client.start("h", request(OperationKind.COMPLETION));
		String stream = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n0\r\n\r\n";
		assertWithMessage("engine").that(answerRaw(200, EVENT_CHUNKS, stream)).isEqualTo("chunk 0");
	}

	@Test
	void validAnswersArrive() throws Exception {
		this.client.start("g", request(OperationKind.SERVICE));
		assertWithMessage("service").that(answer(200, "X: y", "hello")).isEqualTo("chunk 0");
		this.client.start("h", request(OperationKind.COMPLETION));
		assertWithMessage("refusal").that(answer(503, STATEMENT, "")).isEqualTo("lost REFUSED");
	}

	// Guards against a promise to the caller of a request that was executed and failed.
	@Test
	void onlyTheStatementOfATargetIsARefusal() throws Exception {
		for (int status : new int[] { 400, 408, 422, 429, 500, 503 }) {
			for (String field : List.of("X: y", "Laneworks-Verdict: ran", "Laneworks-Verdict:", "Retry-After: 1",
					STATEMENT + "\r\nLaneworks-Verdict: ran")) {
				this.client.start("g", request(OperationKind.COMPLETION));
				assertWithMessage("engine %s %s", status, field).that(answer(status, field, ""))
					.isEqualTo("lost BROKEN");
				this.client.start("g", request(OperationKind.SERVICE));
				boolean isPromise = status == 408 || status == 429 || status == 503;
				assertWithMessage("service %s %s", status, field).that(answer(status, field, ""))
					.isEqualTo(isPromise ? "lost UNKNOWN" : "chunk 0");
			}
			for (OperationKind kind : List.of(OperationKind.COMPLETION, OperationKind.SERVICE)) {
				this.client.start("g", request(kind));
				assertWithMessage("%s %s", kind, status).that(answer(status, STATEMENT, "")).isEqualTo("lost REFUSED");
			}
		}
	}

	@Test
	void successWithTheStatementIsNoRefusal() throws Exception {
		this.client.start("g", request(OperationKind.COMPLETION));
		assertWithMessage("engine").that(answer(200, STATEMENT, EVENT)).isEqualTo("lost BROKEN");
		for (int status : new int[] { 200, 204, 301 }) {
			this.client.start("g", request(OperationKind.SERVICE));
			assertWithMessage("service").that(answer(status, STATEMENT, "")).isEqualTo("lost UNKNOWN");
		}
	}

	private static SidecarRequest request(OperationKind kind) {
		return new SidecarRequest("r1", kind, "acme", "m", "POST", "/x", new byte[0], 5, false, Optional.empty(), 1, 1,
				9_000);
	}

	// Answers the next call, and returns the first event that it leads to.
	private String answer(int status, String field, String body) throws Exception {
		return answerRaw(status, field + "\r\nContent-Length: " + body.length(), body);
	}

	private String answerRaw(int status, String fields, String body) throws Exception {
		this.received.clear();
		try (Socket accepted = this.server.accept()) {
			readHead(accepted.getInputStream());
			String head = "HTTP/1.1 " + status + " X\r\n" + fields;
			accepted.getOutputStream().write((head + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1));
			String first = this.received.poll(30, TimeUnit.SECONDS);
			if ("chunk 0".equals(first)) {
				assertWithMessage("what follows the output").that(this.received.poll(30, TimeUnit.SECONDS))
					.isEqualTo("end STOP");
			}
			return first;
		}
	}

	// A close with unread bytes would reset the connection before the answer is read.
	private static void readHead(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			head.append((char) in.read());
		}
	}

	@Override
	public void onChunk(String generation, long offset, byte[] data) {
		this.received.add("chunk " + offset);
	}

	@Override
	public void onEnd(String generation, long total, FinishReason reason) {
		this.received.add("end " + reason);
	}

	@Override
	public void onLost(String generation, TargetLoss loss) {
		this.received.add("lost " + loss);
	}

	@Override
	public void onLookUp(String generation, boolean found) {
		this.received.add("found " + found);
	}

}
