package dev.laneworks.standin.client;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.http.JsonText;

/**
 * A caller that speaks OpenAI's interface over the Java library's client, one blocking
 * request at a time.
 *
 * @since 0.1
 */
public final class StreamClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

	private static final String DATA = "data:";

	private static final String ID = "id:";

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	private final String apiKey;

	/**
	 * Create a caller.
	 * @param apiKey its API key, or empty text to send none
	 */
	public StreamClient(String apiKey) {
		this.apiKey = apiKey;
	}

	/**
	 * Post a request and read its streamed answer to the end.
	 * @param uri where to post
	 * @param body the body
	 * @param onToken hears of each token as it comes
	 * @param headers further headers, names and values in turn
	 * @return what came
	 * @throws IOException if the server can't be reached
	 */
	public StreamResult stream(URI uri, String body, Consumer<String> onToken, String... headers) throws IOException {
		HttpRequest.Builder request = request(uri, headers).header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body));
		return read(request.build(), onToken);
	}

	/**
	 * Go on with a stream from the last event received.
	 * @param uri where to ask
	 * @param lastEventId the identity of that event
	 * @param onToken hears of each token as it comes
	 * @return what came
	 * @throws IOException if the server can't be reached
	 */
	public StreamResult comeBack(URI uri, String lastEventId, Consumer<String> onToken) throws IOException {
		return read(request(uri, "Last-Event-ID", lastEventId).GET().build(), onToken);
	}

	/**
	 * Make a call and read its whole answer.
	 * @param method the HTTP method
	 * @param uri where to call
	 * @param body the body
	 * @param headers further headers, names and values in turn
	 * @return the answer
	 * @throws IOException if the server can't be reached
	 */
	public HttpResponse<String> call(String method, URI uri, String body, String... headers) throws IOException {
		HttpRequest.Builder request = request(uri, headers).method(method, HttpRequest.BodyPublishers.ofString(body));
		try {
			return this.http.send(request.build(), HttpResponse.BodyHandlers.ofString());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	private HttpRequest.Builder request(URI uri, String... headers) {
		HttpRequest.Builder request = HttpRequest.newBuilder(uri);
		if (!this.apiKey.isEmpty()) {
			request.header("Authorization", "Bearer " + this.apiKey);
		}
		if (headers.length > 0) {
			request.headers(headers);
		}
		return request;
	}

	private StreamResult read(HttpRequest request, Consumer<String> onToken) throws IOException {
		long start = System.nanoTime();
		HttpResponse<InputStream> response;
		try {
			response = this.http.send(request, HttpResponse.BodyHandlers.ofInputStream());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		Reading reading = new Reading(onToken);
		boolean events = response.headers().firstValue("Content-Type").orElse("").startsWith("text/event-stream");
		try (InputStream body = response.body()) {
			if (events) {
				reading.readEvents(body);
			}
			else {
				reading.problem = Optional.of(new String(body.readAllBytes(), StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			// The connection broke; what came until then is returned.
		}
		return new StreamResult(response.statusCode(), response.headers().firstValue("Laneworks-Target").orElse(""),
				response.headers().firstValue("Laneworks-Route").orElse(""), List.copyOf(reading.tokens),
				reading.lastEventId, reading.total, reading.problem,
				reading.nanos.stream().mapToLong(Long::longValue).toArray(), start);
	}

	/**
	 * Reads the events of one answer.
	 */
	private static final class Reading {

		private final Consumer<String> onToken;

		private final List<String> tokens = new ArrayList<>();

		private final List<Long> nanos = new ArrayList<>();

		private String id = "";

		private String lastEventId = "";

		private Optional<Long> total = Optional.empty();

		private Optional<String> problem = Optional.empty();

		Reading(Consumer<String> onToken) {
			this.onToken = onToken;
		}

		void readEvents(InputStream body) throws IOException {
			BufferedReader lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
			String line = lines.readLine();
			while (line != null) {
				if (line.startsWith(ID)) {
					this.id = line.substring(ID.length()).strip();
				}
				else if (line.startsWith(DATA)) {
					onData(line.substring(DATA.length()).strip());
				}
				line = lines.readLine();
			}
		}

		private void onData(String data) throws IOException {
			if (data.equals("[DONE]")) {
				return;
			}
			JsonNode json = JsonText.read(data);
			if (json.has("error")) {
				this.problem = Optional.of(json.path("error").toString());
				return;
			}
			JsonNode choice = json.path("choices").path(0);
			String text = choice.has("delta") ? choice.path("delta").path("content").asText("")
					: choice.path("text").asText("");
			if (json.has("usage")) {
				this.total = Optional.of(json.path("usage").path("completion_tokens").asLong());
			}
			if (!text.isEmpty()) {
				this.tokens.add(text);
				this.nanos.add(System.nanoTime());
				this.lastEventId = this.id;
				this.onToken.accept(text);
			}
		}

	}

}
