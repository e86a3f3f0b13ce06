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
 * Blocking HTTP client for streamed and plain requests to an OpenAI-compatible interface,
 * based on the JDK's {@link HttpClient}.
 *
 * @since 0.1
 */
public final class StreamClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);

	private static final String DATA_FIELD = "data:";

	private static final String ID_FIELD = "id:";

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	private final String apiKey;

	/**
	 * Create a client.
	 * @param apiKey the API key, or an empty string to send none
	 */
	public StreamClient(String apiKey) {
		this.apiKey = apiKey;
	}

	/**
	 * Send a request and read its streamed response until it ends or the connection
	 * breaks.
	 * @param uri the URI of the resource
	 * @param body the JSON body
	 * @param onToken called with the text of each token when it is received
	 * @param headers additional headers as alternating names and values
	 * @return the part of the response that was received
	 * @throws IOException if the server cannot be reached
	 */
	public StreamResult stream(URI uri, String body, Consumer<String> onToken, String... headers) throws IOException {
		HttpRequest.Builder request = request(uri, headers).header("Content-Type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body));
		return sendAndRead(request.build(), onToken);
	}

	/**
	 * Resume a stream after the last event received.
	 * @param uri the URI of the streams resource
	 * @param lastEventId the ID of that event
	 * @param onToken called with the text of each token when it is received
	 * @return the part of the response that was received
	 * @throws IOException if the server cannot be reached
	 */
	public StreamResult resume(URI uri, String lastEventId, Consumer<String> onToken) throws IOException {
		return sendAndRead(request(uri, "Last-Event-ID", lastEventId).GET().build(), onToken);
	}

	/**
	 * Send a request and read its complete response.
	 * @param method the HTTP method
	 * @param uri the URI of the resource
	 * @param body the request body, or an empty string for none
	 * @param headers additional headers as alternating names and values
	 * @return the response
	 * @throws IOException if the server cannot be reached or closes the connection early
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

	private StreamResult sendAndRead(HttpRequest request, Consumer<String> onToken) throws IOException {
		long startNanos = System.nanoTime();
		HttpResponse<InputStream> response;
		try {
			response = this.http.send(request, HttpResponse.BodyHandlers.ofInputStream());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
		EventReader reader = new EventReader(onToken);
		boolean isEventStream = response.headers()
			.firstValue("Content-Type")
			.orElse("")
			.startsWith("text/event-stream");
		try (InputStream body = response.body()) {
			if (isEventStream) {
				reader.readEvents(body);
			}
			else {
				reader.problem = Optional.of(new String(body.readAllBytes(), StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			// The connection broke. The result holds what was received before.
		}
		return new StreamResult(response.statusCode(), response.headers().firstValue("Laneworks-Target").orElse(""),
				response.headers().firstValue("Laneworks-Route").orElse(""), List.copyOf(reader.tokens),
				reader.lastEventId, reader.reportedTokenCount, reader.problem,
				reader.arrivalNanos.stream().mapToLong(Long::longValue).toArray(), startNanos);
	}

	/**
	 * Parser for the event stream of one response.
	 */
	private static final class EventReader {

		private final Consumer<String> onToken;

		private final List<String> tokens = new ArrayList<>();

		private final List<Long> arrivalNanos = new ArrayList<>();

		private String currentEventId = "";

		private String lastEventId = "";

		private Optional<Long> reportedTokenCount = Optional.empty();

		private Optional<String> problem = Optional.empty();

		EventReader(Consumer<String> onToken) {
			this.onToken = onToken;
		}

		void readEvents(InputStream body) throws IOException {
			BufferedReader lines = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8));
			String line = lines.readLine();
			while (line != null) {
				if (line.startsWith(ID_FIELD)) {
					this.currentEventId = line.substring(ID_FIELD.length()).strip();
				}
				else if (line.startsWith(DATA_FIELD)) {
					onData(line.substring(DATA_FIELD.length()).strip());
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
				this.reportedTokenCount = Optional.of(json.path("usage").path("completion_tokens").asLong());
			}
			if (!text.isEmpty()) {
				this.tokens.add(text);
				this.arrivalNanos.add(System.nanoTime());
				this.lastEventId = this.currentEventId;
				this.onToken.accept(text);
			}
		}

	}

}
