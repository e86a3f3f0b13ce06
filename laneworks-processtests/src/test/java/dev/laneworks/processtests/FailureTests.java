package dev.laneworks.processtests;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
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
 * Kills, freezes and cuts real processes and links in the middle of streams.
 */
class FailureTests {

	private static final long STEP_MICROS = 10_000;

	private static final int LENGTH = 150;

	private final StreamClient client = new StreamClient(Fleet.KEY);

	private Fleet fleet;

	@BeforeEach
	void startFleet() {
		this.fleet = new Fleet(STEP_MICROS).start();
	}

	@AfterEach
	void endFleet() {
		this.fleet.close();
	}

	@Test
	void anEntrysDeathLosesNoTokenAndDoublesNone() throws IOException {
		AtomicInteger seen = new AtomicInteger();
		CompletableFuture<StreamResult> first = ask(0, "{}", seen);
		Fleet.await("tokens come", () -> seen.get() > 20);
		this.fleet.entry(0).kill();
		StreamResult cut = first.join();
		assertThat(cut.isWhole()).isFalse();
		StreamResult rest = this.client.comeBack(this.fleet.entryUri(1, "/v1/streams"), cut.lastEventId(), (t) -> {
		});
		assertThat(rest.total().orElseThrow()).isEqualTo(LENGTH);
		List<String> all = new ArrayList<>(cut.tokens());
		all.addAll(rest.tokens());
		assertOneGeneration(all);
	}

	@Test
	void aSidecarsDeathIsNotSeenByTheCaller() {
		AtomicInteger seen = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", seen);
		Fleet.await("tokens come", () -> seen.get() > 20);
		int target = runningTarget();
		this.fleet.sidecar(target).kill();
		this.fleet.startSidecar(target);
		StreamResult result = stream.join();
		assertWithMessage("%s", result.problem()).that(result.isWhole()).isTrue();
		assertOneGeneration(result.tokens());
	}

	@Test
	void anEnginesDeathEndsTheStreamClearlyAndNeverSplicesAnother() {
		AtomicInteger seen = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", seen);
		Fleet.await("tokens come", () -> seen.get() > 20);
		this.fleet.engine(runningTarget()).stop();
		StreamResult result = stream.join();
		assertThat(result.isWhole()).isFalse();
		assertThat(result.total().isEmpty()).isTrue();
		assertThat(result.problem().orElseThrow()).contains("\"verdict\":\"ran\"");
	}

	@Test
	void aPlannedStopOfASidecarCutsOffNothing() {
		AtomicInteger seen = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", seen);
		Fleet.await("tokens come", () -> seen.get() > 20);
		int target = runningTarget();
		this.fleet.sidecar(target).terminate();
		Fleet.await("the sidecar leaves",
				() -> this.fleet.status(this.fleet.sidecarOperator(target)).path("load").path("leaving").asBoolean());
		this.fleet.sidecar(target).terminate();
		List<CompletableFuture<StreamResult>> others = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			others.add(ask(i % 2, "{\"standin_length\": 5}", new AtomicInteger()));
		}
		assertThat(stream.join().isWhole()).isTrue();
		for (CompletableFuture<StreamResult> other : others) {
			assertWithMessage("%s", other.join().problem()).that(other.join().isWhole()).isTrue();
			assertThat(other.join().target()).isEqualTo("t" + (1 - target));
		}
		assertThat(this.fleet.sidecar(target).awaitEnd()).isEqualTo(0);
	}

	@Test
	void aPlannedStopOfAnEntryCutsOffNothing() throws IOException {
		AtomicInteger seen = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", seen);
		Fleet.await("tokens come", () -> seen.get() > 20);
		askAndHangUp();
		this.fleet.entry(0).terminate();
		Fleet.await("the health check fails", () -> statusCode(this.fleet.entryUri(0, "/readyz")) == 503);
		assertThat(stream.join().isWhole()).isTrue();
		assertThat(this.fleet.entry(0).awaitEnd()).isEqualTo(0);
	}

	@Test
	void aFrozenSidecarRunsATicketsRequestAtMostOnce() throws IOException {
		String ticket = JsonText
			.read(this.client.call("POST", this.fleet.entryUri(0, "/v1/tickets"), "{\"model\": \"m\"}").body())
			.path("ticket")
			.asText();
		assertThat(ticket).isNotEmpty();
		this.fleet.sidecar(0).freeze();
		this.fleet.sidecar(1).freeze();
		CompletableFuture<StreamResult> first = ask(0, "{}", new AtomicInteger(), "Idempotency-Key", ticket);
		StreamResult refused = first.join();
		assertThat(refused.problem().orElseThrow()).contains("\"verdict\":\"may-have-run\"");
		this.fleet.sidecar(0).wake();
		this.fleet.sidecar(1).wake();
		Fleet.await("the ticket's request is whole",
				() -> ask(1, "{}", new AtomicInteger(), "Idempotency-Key", ticket).join().isWhole());
		assertThat(sumOfRuns()).isEqualTo(1);
	}

	@Test
	void theSameTicketAtBothEntriesRunsOnce() throws IOException {
		String ticket = JsonText
			.read(this.client.call("POST", this.fleet.entryUri(0, "/v1/tickets"), "{\"model\": \"m\"}").body())
			.path("ticket")
			.asText();
		CompletableFuture<StreamResult> one = ask(0, "{}", new AtomicInteger(), "Idempotency-Key", ticket);
		CompletableFuture<StreamResult> other = ask(1, "{}", new AtomicInteger(), "Idempotency-Key", ticket);
		assertThat(one.join().isWhole() || other.join().isWhole()).isTrue();
		assertThat(sumOfRuns()).isEqualTo(1);
	}

	@Test
	void aStalledLinkDoesNotStopRepeatableWork() {
		this.fleet.forwarder(0).cutBackward(true);
		for (int i = 0; i < 4; i++) {
			StreamResult result = ask(0, "{\"standin_length\": 5}", new AtomicInteger()).join();
			assertWithMessage("%s", result.problem()).that(result.isWhole()).isTrue();
			assertThat(result.target()).isEqualTo("t1");
		}
	}

	@Test
	void aBrokenLinkInTheMiddleOfAStreamIsNotSeenByTheCaller() {
		AtomicInteger seen = new AtomicInteger();
		CompletableFuture<StreamResult> stream = ask(0, "{}", seen);
		Fleet.await("tokens come", () -> seen.get() > 20);
		this.fleet.forwarder(runningTarget()).breakAll(false);
		StreamResult result = stream.join();
		assertWithMessage("%s", result.problem()).that(result.isWhole()).isTrue();
		assertOneGeneration(result.tokens());
	}

	private CompletableFuture<StreamResult> ask(int entry, String more, AtomicInteger seen, String... headers) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				JsonNode body = JsonText.object()
					.put("model", "m")
					.put("prompt", "hello")
					.put("stream", true)
					.put("standin_length", JsonText.read(more).path("standin_length").asInt(LENGTH));
				return this.client.stream(this.fleet.entryUri(entry, "/v1/completions"), body.toString(),
						(t) -> seen.incrementAndGet(), headers);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
	}

	// A caller whose answer never ends must not hold the stop up.
	private void askAndHangUp() throws IOException {
		String body = "{\"model\": \"m\", \"prompt\": \"x\", \"stream\": true, \"standin_length\": 90000}";
		try (Socket socket = new Socket("127.0.0.1", this.fleet.entryUri(0, "/").getPort())) {
			socket.getOutputStream()
				.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Fleet.KEY
						+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
					.getBytes(StandardCharsets.UTF_8));
			assertThat(socket.getInputStream().read()).isAtLeast(0);
		}
	}

	private int runningTarget() {
		Fleet.await("an engine runs the generation",
				() -> this.fleet.load(0).path("running").asInt() + this.fleet.load(1).path("running").asInt() > 0);
		return (this.fleet.load(0).path("running").asInt() > 0) ? 0 : 1;
	}

	private int sumOfRuns() {
		int sum = 0;
		for (int i = 0; i < 2; i++) {
			for (JsonNode count : this.fleet.runs(i)) {
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

	private static void assertOneGeneration(List<String> tokens) {
		assertThat(tokens).hasSize(LENGTH);
		String generation = tokens.get(0).substring(0, tokens.get(0).indexOf('#'));
		for (int i = 0; i < tokens.size(); i++) {
			assertThat(tokens.get(i)).isEqualTo(generation + '#' + i + ' ');
		}
	}

}
