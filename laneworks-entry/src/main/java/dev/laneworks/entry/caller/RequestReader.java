package dev.laneworks.entry.caller;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.Optional;
import java.util.UUID;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.laneworks.core.call.CallRequest;
import dev.laneworks.core.configuration.AccountDescription;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.configuration.ServiceDescription;
import dev.laneworks.core.configuration.SpillRule;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.stream.RequestTicket;
import dev.laneworks.core.stream.TokenSigner;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.runtime.http.JsonText;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.vavr.control.Either;

/**
 * Parses and validates callers' HTTP requests.
 * <p>
 * The header {@code Authorization: Bearer KEY} identifies the client account. The header
 * {@code Idempotency-Key} marks a request that must run at most once; its value is a key
 * of the caller's choice or a ticket. The header {@code Laneworks-Patience} is the
 * timeout for the first token in milliseconds.
 */
final class RequestReader {

	static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

	static final HttpString CALLER_TIMEOUT = new HttpString("Laneworks-Patience");

	private static final String BEARER = "Bearer ";

	private static final int CHARS_PER_TOKEN = 4;

	private static final int PREFIX_CHARS = 512;

	private static final int DEFAULT_MAX_TOKENS = 65_536;

	private static final int MAX_TOKENS_LIMIT = 1_000_000;

	private static final int MAX_KEY_LENGTH = 512;

	private static final long MAX_CALLER_TIMEOUT_MILLIS = Duration.ofHours(1).toMillis();

	private final byte[] secret;

	private final Duration callerTimeout;

	RequestReader(byte[] secret, Duration callerTimeout) {
		this.secret = secret.clone();
		this.callerTimeout = callerTimeout;
	}

	Either<Refusal, AccountDescription> account(HttpServerExchange exchange, FleetConfiguration configuration) {
		String headerValue = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
		if (headerValue == null || !headerValue.startsWith(BEARER)) {
			return Either.left(Refusal.permanent(RefusalReason.UNKNOWN_ACCOUNT,
					"the Authorization header must be 'Bearer' and an API key"));
		}
		return configuration.accountByDigest(digest(headerValue.substring(BEARER.length()).strip()))
			.<Either<Refusal, AccountDescription>>map(Either::right)
			.orElseGet(() -> Either.left(Refusal.permanent(RefusalReason.UNKNOWN_ACCOUNT, "the API key is not known")));
	}

	Either<Refusal, GenerationRequest> generation(HttpServerExchange exchange, byte[] body, OperationKind kind,
			AccountDescription account, FleetConfiguration configuration) {
		JsonNode json;
		try {
			json = JsonText.read(body);
		}
		catch (IOException ex) {
			return badRequest("the body is not JSON");
		}
		if (!(json instanceof ObjectNode object)) {
			return badRequest("the body must be a JSON object");
		}
		String model = object.path("model").asText("");
		if (model.isEmpty()) {
			return badRequest("the member 'model' is missing");
		}
		String input = (kind == OperationKind.CHAT) ? "messages" : "prompt";
		if (!object.has(input)) {
			return badRequest("the member '" + input + "' is missing");
		}
		int maxTokens = object.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
		if (maxTokens < 1 || maxTokens > MAX_TOKENS_LIMIT) {
			return badRequest("the member 'max_tokens' must be from 1 to " + MAX_TOKENS_LIMIT);
		}
		Optional<Intent> intent = configuration.intent(account.name(), model);
		if (intent.isEmpty() || configuration.service(model).isPresent()) {
			return Either.left(Refusal.permanent(RefusalReason.UNKNOWN_MODEL,
					"the account may use no model named '" + model + "'"));
		}
		boolean stream = object.path("stream").asBoolean(false);
		String prompt = (kind == OperationKind.CHAT) ? object.path(input).toString() : object.path(input).asText();
		object.put("stream", true);
		byte[] targetBody = object.toString().getBytes(StandardCharsets.UTF_8);
		String path = (kind == OperationKind.CHAT) ? "/v1/chat/completions" : "/v1/completions";
		return readIdempotency(exchange, account)
			.flatMap((idempotency) -> callerTimeout(exchange).map((timeoutMillis) -> {
				boolean repeatable = idempotency.key().isEmpty() && intent.get().repeatable();
				SidecarRequest sidecarRequest = new SidecarRequest(createRequestId(), kind, account.name(), model,
						"POST", path, targetBody, intent.get().priority(), repeatable, idempotency.key(),
						Math.max(1, prompt.length() / CHARS_PER_TOKEN), maxTokens, timeoutMillis);
				CallRequest request = new CallRequest(sidecarRequest, intent.get(), prefixHash(prompt),
						idempotency.ticketTarget(), stream);
				return new GenerationRequest(request, stream);
			}));
	}

	Either<Refusal, CallRequest> service(HttpServerExchange exchange, byte[] body, String name, String path,
			AccountDescription account, FleetConfiguration configuration) {
		Optional<ServiceDescription> service = configuration.service(name);
		Optional<Intent> intent = configuration.intent(account.name(), name);
		if (service.isEmpty() || intent.isEmpty()) {
			return Either.left(Refusal.permanent(RefusalReason.UNKNOWN_MODEL,
					"the account may use no service named '" + name + "'"));
		}
		String method = exchange.getRequestMethod().toString();
		String query = exchange.getQueryString().isEmpty() ? "" : '?' + exchange.getQueryString();
		return readIdempotency(exchange, account)
			.flatMap((idempotency) -> callerTimeout(exchange).map((timeoutMillis) -> {
				boolean repeatable = idempotency.key().isEmpty() && service.get().isRepeatable(method, path);
				SidecarRequest request = new SidecarRequest(createRequestId(), OperationKind.SERVICE, account.name(),
						name, method, path + query, body, intent.get().priority(), repeatable, idempotency.key(), 0, 1,
						timeoutMillis);
				return new CallRequest(request, intent.get(), 0, idempotency.ticketTarget(), false);
			}));
	}

	static CallRequest resumedRequest(String account) {
		SidecarRequest request = new SidecarRequest(createRequestId(), OperationKind.COMPLETION, account, "", "", "",
				new byte[0], 0, false, Optional.empty(), 0, 1, 0);
		Intent intent = new Intent(account, "", "", "", 0, Optional.empty(), SpillRule.NONE, false);
		return new CallRequest(request, intent, 0, Optional.empty(), true);
	}

	private Either<Refusal, Idempotency> readIdempotency(HttpServerExchange exchange, AccountDescription account) {
		HeaderMap headers = exchange.getRequestHeaders();
		String key = headers.getFirst(IDEMPOTENCY_KEY);
		if (key == null) {
			return Either.right(new Idempotency(Optional.empty(), Optional.empty()));
		}
		if (key.isBlank() || key.length() > MAX_KEY_LENGTH) {
			return badRequest("the Idempotency-Key must have from 1 to " + MAX_KEY_LENGTH + " characters");
		}
		Optional<RequestTicket> ticket = new TokenSigner(this.secret).verifyTicket(key);
		if (ticket.isEmpty()) {
			return Either.right(new Idempotency(
					Optional.of(new IdempotencyKey(account.name(), key, IdempotencyKey.NO_TICKET)), Optional.empty()));
		}
		if (!ticket.get().account().equals(account.name())) {
			return badRequest("the ticket in the Idempotency-Key belongs to another account");
		}
		IdempotencyKey ticketKey = new IdempotencyKey(account.name(), ticket.get().identity(),
				ticket.get().incarnation());
		return Either.right(new Idempotency(Optional.of(ticketKey), Optional.of(ticket.get().target())));
	}

	private Either<Refusal, Long> callerTimeout(HttpServerExchange exchange) {
		String headerValue = exchange.getRequestHeaders().getFirst(CALLER_TIMEOUT);
		if (headerValue == null) {
			return Either.right(this.callerTimeout.toMillis());
		}
		try {
			long millis = Long.parseLong(headerValue.strip());
			if (millis >= 1 && millis <= MAX_CALLER_TIMEOUT_MILLIS) {
				return Either.right(millis);
			}
		}
		catch (NumberFormatException ex) {
			// Rejected below, like a number out of range.
		}
		return badRequest("the Laneworks-Patience header must be milliseconds from 1 to " + MAX_CALLER_TIMEOUT_MILLIS);
	}

	private static <T> Either<Refusal, T> badRequest(String detail) {
		return Either.left(Refusal.permanent(RefusalReason.BAD_REQUEST, detail));
	}

	private static long prefixHash(String prompt) {
		return Rendezvous.hash(prompt.substring(0, Math.min(prompt.length(), PREFIX_CHARS)));
	}

	private static String createRequestId() {
		return UUID.randomUUID().toString();
	}

	private static String digest(String key) {
		try {
			MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(sha256.digest(key.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

	/**
	 * A parsed request for a generation.
	 *
	 * @param request the request to route
	 * @param stream whether the caller asked for a stream of events
	 */
	record GenerationRequest(CallRequest request, boolean stream) {

	}

	private record Idempotency(Optional<IdempotencyKey> key, Optional<String> ticketTarget) {

	}

}
