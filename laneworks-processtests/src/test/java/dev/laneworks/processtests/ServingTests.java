package dev.laneworks.processtests;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.standin.client.StreamClient;
import dev.laneworks.standin.client.StreamResult;
import dev.laneworks.standin.platform.PlatformServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the interfaces for clients and operators over real processes, with invalid
 * requests, disconnecting clients and faults of the platform.
 */
class ServingTests {

	private static Fleet fleet;

	private final StreamClient client = new StreamClient(Fleet.KEY);

	@BeforeAll
	static void startFleet() {
		fleet = new Fleet(3_000).start();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	@Test
	void streamsCompletion() throws IOException {
		StreamResult result = this.client.stream(fleet.entryUri(0, "/v1/completions"),
				"{\"model\": \"m\", \"prompt\": \"x\", \"stream\": true, \"standin_length\": 30}", (t) -> {
				});
		assertThat(result.isComplete()).isTrue();
		assertThat(result.tokens()).hasSize(30);
		assertThat(result.route()).isNotEmpty();
	}

	@Test
	void returnsChatCompletionWithoutStreaming() throws IOException {
		HttpResponse<String> response = this.client.call("POST", fleet.entryUri(1, "/v1/chat/completions"),
				"{\"model\": \"m\", \"messages\": [{\"role\": \"user\", \"content\": \"x\"}], \"standin_length\": 7}");
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(JsonText.read(response.body()).path("usage").path("completion_tokens").asInt()).isEqualTo(7);
		assertThat(JsonText.read(response.body()).path("choices").path(0).path("message").path("content").asText())
			.contains("#6");
	}

	@Test
	void stopsAtMaxTokens() throws IOException {
		HttpResponse<String> response = this.client.call("POST", fleet.entryUri(1, "/v1/completions"),
				"{\"model\": \"m\", \"prompt\": \"x\", \"max_tokens\": 3, \"standin_length\": 7}");
		assertThat(JsonText.read(response.body()).path("choices").path(0).path("finish_reason").asText())
			.isEqualTo("length");
	}

	@Test
	void forwardsRequestToPlainService() throws IOException {
		HttpResponse<String> response = this.client.call("POST", fleet.entryUri(0, "/services/lookup/deeds/7?x=1"),
				"body");
		assertThat(response.statusCode()).isEqualTo(200);
		assertThat(JsonText.read(response.body()).path("path").asText()).isEqualTo("/deeds/7");
		assertThat(JsonText.read(response.body()).path("body").asText()).isEqualTo("body");
	}

	@Test
	void rejectsInvalidRequestsWithProblem() throws IOException {
		assertProblem(post("{"), 400, "not JSON");
		assertProblem(post("[]"), 400, "must be a JSON object");
		assertProblem(post("{\"prompt\": \"x\"}"), 400, "'model' is missing");
		assertProblem(post("{\"model\": \"m\"}"), 400, "'prompt' is missing");
		assertProblem(post("{\"model\": \"m\", \"prompt\": \"x\", \"max_tokens\": 0}"), 400, "'max_tokens'");
		assertProblem(post("{\"model\": \"nope\", \"prompt\": \"x\"}"), 404, "no model named 'nope'");
		assertProblem(post("x".repeat(70_000)), 413, "larger than 65536 bytes");
		assertProblem(this.client.call("GET", fleet.entryUri(0, "/v1/completions"), ""), 405, "only POST");
		assertProblem(this.client.call("GET", fleet.entryUri(0, "/nothing"), ""), 404, "nothing is served");
		HttpResponse<String> unauthorized = new StreamClient("wrong").call("POST", fleet.entryUri(0, "/v1/completions"),
				"{}");
		assertProblem(unauthorized, 401, "the API key is not known");
		assertProblem(this.client.call("GET", fleet.entryUri(0, "/v1/streams"), "", "Last-Event-ID", "forged"), 400,
				"Last-Event-ID");
	}

	// Guards against clients that exhaust memory or hold connections open.
	@Test
	void closesConnectionsWithOversizedOrIncompleteHeaders() throws IOException {
		StringBuilder oversizedRequest = new StringBuilder("GET /livez HTTP/1.1\r\nHost: x\r\n");
		for (int i = 0; i < 200; i++) {
			oversizedRequest.append("X-").append(i).append(": y\r\n");
		}
		assertThat(sendRaw(oversizedRequest + "\r\n")).doesNotContain("live");
		assertThat(sendRaw("POST /v1/comple")).doesNotContain("HTTP/1.1 200");
		assertThat(this.client.call("GET", fleet.entryUri(0, "/livez"), "").statusCode()).isEqualTo(200);
	}

	// Guards against a length whose value overflows: its request failed with 500, and was
	// read with another length.
	@Test
	void rejectsContentLengthThatOverflows() throws IOException {
		assertThat(sendRaw("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Fleet.KEY
				+ "\r\nContent-Length: 18446744073709551617\r\n\r\nx"))
			.startsWith("HTTP/1.1 400");
	}

	// Guards against generations that keep running after their client disconnected.
	@Test
	void clientDisconnectCancelsGeneration() {
		CompletableFuture<Void> clientRequest = CompletableFuture.runAsync(() -> {
			try (Socket socket = new Socket("127.0.0.1", fleet.entryUri(0, "/").getPort())) {
				String body = "{\"model\": \"m\", \"prompt\": \"x\", \"standin_length\": 90000}";
				socket.getOutputStream()
					.write(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + Fleet.KEY
							+ "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
						.getBytes(StandardCharsets.UTF_8));
				Fleet.await("an engine runs the generation", () -> runningGenerations() > 0);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		clientRequest.join();
		Fleet.await("no engine runs a generation", () -> runningGenerations() == 0);
	}

	// Guards against a process that reverts to an older configuration, also after a
	// restart while the platform is down.
	@Test
	void configurationAppliesEverywhereAndNeverReverts() throws IOException {
		fleet.publish(fleet.document(2, ""));
		awaitVersion(2);
		fleet.publish("{\"version\": 3,\n\"targest\": []}");
		Fleet.await("the sidecar reports the line of the invalid document",
				() -> fleet.status(fleet.sidecarStatusUri(0)).path("lastRefusal").asText().contains(":2: targest"));
		fleet.publish(fleet.document(1, ""));
		fleet.platform().setFault(PlatformServer.Fault.DOWN);
		fleet.entry(1).kill();
		fleet.startEntry(1);
		awaitVersion(2);
		fleet.platform().setFault(PlatformServer.Fault.NONE);
		fleet.publish(fleet.document(4, ""));
		awaitVersion(4);
		fleet.awaitServing();
	}

	@Test
	void exposesMetricsAndRequestTrace() throws IOException {
		HttpResponse<String> response = this.client.call("POST", fleet.entryUri(0, "/v1/completions"),
				"{\"model\": \"m\", \"prompt\": \"x\", \"standin_length\": 3}");
		String request = response.headers().firstValue("Laneworks-Request").orElseThrow();
		String trace = fleet.status(fleet.entryStatusUri(0).resolve("/trace/" + request)).toString();
		assertThat(trace).contains("ROUTED");
		String metrics = this.client.call("GET", fleet.entryStatusUri(0).resolve("/metrics"), "").body();
		assertThat(metrics).contains("laneworks_first_token_micros");
		assertThat(metrics).contains("laneworks_calls_finished");
	}

	private static void awaitVersion(long version) {
		for (int i = 0; i < 2; i++) {
			int index = i;
			Fleet.await("version " + version + " is in force at entry " + i,
					() -> fleet.status(fleet.entryStatusUri(index)).path("configurationVersion").asLong() == version);
			Fleet.await("version " + version + " is in force at sidecar " + i,
					() -> fleet.status(fleet.sidecarStatusUri(index)).path("configurationVersion").asLong() == version);
		}
	}

	private static int runningGenerations() {
		return fleet.load(0).path("running").asInt() + fleet.load(1).path("running").asInt();
	}

	private HttpResponse<String> post(String body) throws IOException {
		return this.client.call("POST", fleet.entryUri(0, "/v1/completions"), body);
	}

	private static void assertProblem(HttpResponse<String> response, int status, String detail) throws IOException {
		assertThat(response.body()).contains(detail);
		assertThat(response.statusCode()).isEqualTo(status);
		assertThat(JsonText.read(response.body()).path("verdict").asText()).isEqualTo("not-run");
	}

	private static String sendRaw(String request) throws IOException {
		try (Socket socket = new Socket("127.0.0.1", fleet.entryUri(0, "/").getPort())) {
			socket.setSoTimeout(20_000);
			OutputStream out = socket.getOutputStream();
			out.write(request.getBytes(StandardCharsets.UTF_8));
			InputStream in = socket.getInputStream();
			return new String(in.readAllBytes(), StandardCharsets.UTF_8);
		}
		catch (SocketException ex) {
			return "";
		}
	}

}
