package dev.laneworks.processtests;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.standin.client.StreamClient;
import dev.laneworks.standin.client.StreamResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that crashes, pauses and broken links of real processes neither corrupt a stream
 * nor execute a request twice.
 */
class FailureTests {

	private static final long STEP_MICROS = 10_000;

	private static final int OUTPUT_LENGTH = 150;

	/**
	 * Length of an output that takes longer than all waits of a test before it ends the
	 * generation.
	 */
	private static final int UNFINISHED_OUTPUT_LENGTH = 6_500;

	private final StreamClient client = new StreamClient(Fleet.KEY);

	private Fleet fleet;

	@BeforeEach
	void startFleet() {
		this.fleet = new Fleet(STEP_MICROS).start();
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	// Guards against lost and duplicated tokens when a client resumes at another entry.
	@Test
	void streamResumesAtOtherEntryAfterEntryCrash() throws IOException {
		AtomicInteger receivedTokens = new AtomicInteger();
		CompletableFuture<StreamResult> first = ask(0, "{}", receivedTokens);
		Fleet.await("more than 20 tokens are received", () -> receivedTokens.get() > 20);
		this.fleet.entry(0).kill();
		StreamResult cut = first.join();
		assertThat(cut.isComplete()).isFalse();
		StreamResult resumed = this.client.resume(this.fleet.entryUri(1, "/v1/streams"), cut.lastEventId(), (t) -> {
		});
		assertThat(resumed.reportedTokenCount().orElseThrow()).isEqualTo(OUTPUT_LENGTH);
		List<String> all = new ArrayList<>(cut.tokens());
		all.addAll(resumed.tokens());
		assertTokensOfOneGeneration(all);
	}

	// Guards against a stream that breaks or repeats tokens when its sidecar restarts.
	@Test
	void streamSurvivesSidecarRestart() {
		AtomicInteger receivedTokens = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", receivedTokens);
		Fleet.await("more than 20 tokens are received", () -> receivedTokens.get() > 20);
		int target = findRunningTarget();
		this.fleet.sidecar(target).kill();
		this.fleet.startSidecar(target);
		StreamResult result = stream.join();
		assertWithMessage("%s", result.problem()).that(result.isComplete()).isTrue();
		assertTokensOfOneGeneration(result.tokens());
	}

	// Guards against a stream that continues with the output of another execution.
	@Test
	void engineCrashEndsStreamWithProblem() {
		AtomicInteger receivedTokens = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{\"standin_length\": " + UNFINISHED_OUTPUT_LENGTH + "}",
				receivedTokens);
		Fleet.await("more than 20 tokens are received", () -> receivedTokens.get() > 20);
		this.fleet.engine(findRunningTarget()).stop();
		StreamResult result = stream.join();
		assertThat(result.isComplete()).isFalse();
		assertThat(result.reportedTokenCount().isEmpty()).isTrue();
		assertThat(result.problem().orElseThrow()).contains("\"verdict\":\"ran\"");
	}

	// Guards against a shutdown that cuts off active streams or rejects requests that the
	// other target can execute.
	@Test
	void sidecarShutdownCompletesActiveStreams() {
		AtomicInteger receivedTokens = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", receivedTokens);
		Fleet.await("more than 20 tokens are received", () -> receivedTokens.get() > 20);
		int target = findRunningTarget();
		this.fleet.sidecar(target).terminate();
		Fleet.await("the sidecar is draining",
				() -> this.fleet.status(this.fleet.sidecarStatusUri(target)).path("load").path("leaving").asBoolean());
		this.fleet.sidecar(target).terminate();
		List<CompletableFuture<StreamResult>> others = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			others.add(ask(i % 2, "{\"standin_length\": 5}", new AtomicInteger()));
		}
		assertThat(stream.join().isComplete()).isTrue();
		for (CompletableFuture<StreamResult> other : others) {
			assertWithMessage("%s", other.join().problem()).that(other.join().isComplete()).isTrue();
			assertThat(other.join().target()).isEqualTo("t" + (1 - target));
		}
		assertThat(this.fleet.sidecar(target).awaitExit()).isEqualTo(0);
	}

	// Guards against a shutdown that cuts off active streams or does not finish.
	@Test
	void entryShutdownCompletesActiveStreams() throws IOException {
		AtomicInteger receivedTokens = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", receivedTokens);
		Fleet.await("more than 20 tokens are received", () -> receivedTokens.get() > 20);
		askAndDisconnect();
		this.fleet.entry(0).terminate();
		Fleet.await("the health check fails", () -> statusCode(this.fleet.entryUri(0, "/readyz")) == 503);
		assertThat(stream.join().isComplete()).isTrue();
		assertThat(this.fleet.entry(0).awaitExit()).isEqualTo(0);
	}

	// Guards against a paused sidecar that executes a request again after it resumes.
	@Test
	void pausedSidecarsExecuteTicketAtMostOnce() throws IOException {
		String ticket = JsonText
			.read(this.client.call("POST", this.fleet.entryUri(0, "/v1/tickets"), "{\"model\": \"m\"}").body())
			.path("ticket")
			.asText();
		assertThat(ticket).isNotEmpty();
		this.fleet.sidecar(0).pause();
		this.fleet.sidecar(1).pause();
		CompletableFuture<StreamResult> first = ask(0, "{}", new AtomicInteger(), "Idempotency-Key", ticket);
		StreamResult refused = first.join();
		assertThat(refused.problem().orElseThrow()).contains("\"verdict\":\"may-have-run\"");
		this.fleet.sidecar(0).unpause();
		this.fleet.sidecar(1).unpause();
		Fleet.await("the ticket's request is complete",
				() -> ask(1, "{}", new AtomicInteger(), "Idempotency-Key", ticket).join().isComplete());
		assertThat(totalExecutions()).isEqualTo(1);
	}

	// Guards against two executions of a ticket that is used at two entries concurrently.
	@Test
	void ticketAtBothEntriesExecutesOnce() throws IOException {
		String ticket = JsonText
			.read(this.client.call("POST", this.fleet.entryUri(0, "/v1/tickets"), "{\"model\": \"m\"}").body())
			.path("ticket")
			.asText();
		CompletableFuture<StreamResult> atFirstEntry = ask(0, "{}", new AtomicInteger(), "Idempotency-Key", ticket);
		CompletableFuture<StreamResult> atSecondEntry = ask(1, "{}", new AtomicInteger(), "Idempotency-Key", ticket);
		assertThat(atFirstEntry.join().isComplete() || atSecondEntry.join().isComplete()).isTrue();
		assertThat(totalExecutions()).isEqualTo(1);
	}

	// Guards against requests that wait for a target whose link is stalled.
	@Test
	void stalledLinkRoutesRequestsToOtherTarget() {
		this.fleet.forwarder(0).stallBackward(true);
		for (int i = 0; i < 4; i++) {
			StreamResult result = ask(0, "{\"standin_length\": 5}", new AtomicInteger()).join();
			assertWithMessage("%s", result.problem()).that(result.isComplete()).isTrue();
			assertThat(result.target()).isEqualTo("t1");
		}
	}

	// Guards against a stream that breaks or repeats tokens when a link is reestablished.
	@Test
	void streamSurvivesBrokenLink() {
		AtomicInteger receivedTokens = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", receivedTokens);
		Fleet.await("more than 20 tokens are received", () -> receivedTokens.get() > 20);
		this.fleet.forwarder(findRunningTarget()).closeConnections(false);
		StreamResult result = stream.join();
		assertWithMessage("%s", result.problem()).that(result.isComplete()).isTrue();
		assertTokensOfOneGeneration(result.tokens());
	}

	private CompletableFuture<StreamResult> ask(int entry, String options, AtomicInteger receivedTokens,
			String... headers) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				JsonNode body = JsonText.object()
					.put("model", "m")
					.put("prompt", "hello")
					.put("stream", true)
					.put("standin_length", JsonText.read(options).path("standin_length").asInt(OUTPUT_LENGTH));
				return this.client.stream(this.fleet.entryUri(entry, "/v1/completions"), body.toString(),
						(t) -> receivedTokens.incrementAndGet(), headers);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	// Guards against an entry that sends after a pause what its callers no longer wait
	// for.
	@Test
	void pausedEntrySendsNothingOfCallersThatLeft() throws IOException {
		URI uri = this.fleet.entryUri(0, "/services/lookup/left");
		this.fleet.entry(0).pause();
		for (int i = 0; i < 10; i++) {
			try (Socket socket = new Socket("127.0.0.1", uri.getPort())) {
				socket.getOutputStream()
					.write(("GET " + uri.getPath() + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Fleet.KEY
							+ "\r\n\r\n")
						.getBytes(StandardCharsets.UTF_8));
			}
		}
		this.fleet.entry(0).unpause();
		HttpResponse<String> response = this.client.call("GET", uri, "");
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(JsonText.read(response.body()).path("calls").asInt()).isEqualTo(1);
	}

	// Starts a long generation and disconnects, which must not delay the shutdown.
	private void askAndDisconnect() throws IOException {
		String body = "{\"model\": \"m\", \"prompt\": \"x\", \"stream\": true, \"standin_length\": 90000}";
		try (Socket socket = new Socket("127.0.0.1", this.fleet.entryUri(0, "/").getPort())) {
			socket.getOutputStream()
				.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Fleet.KEY
						+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.UTF_8));
			assertThat(socket.getInputStream().read()).isAtLeast(0);
		}
	}

	private int findRunningTarget() {
		AtomicInteger target = new AtomicInteger();
		Fleet.await("an engine runs the generation",
				() -> this.fleet.load(target.updateAndGet((t) -> 1 - t)).path("running").asInt() > 0);
		return target.get();
	}

	private int totalExecutions() {
		int sum = 0;
		for (int i = 0; i < 2; i++) {
			for (JsonNode count : this.fleet.executionCounts(i)) {
				sum += count.asInt();
			}
		}
		return sum;
	}

	private int statusCode(URI uri) {
		try {
			return this.client.call("GET", uri, "").statusCode();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	private static void assertTokensOfOneGeneration(List<String> tokens) {
		assertThat(tokens).hasSize(OUTPUT_LENGTH);
		String generation = tokens.get(0).substring(0, tokens.get(0).indexOf('#'));
		for (int i = 0; i < tokens.size(); i++) {
			assertThat(tokens.get(i)).isEqualTo(generation + '#' + i + ' ');
		}
	}

}
