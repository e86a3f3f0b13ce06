package dev.laneworks.core.message;

import java.util.Objects;
import java.util.Optional;

/**
 * Request as submitted to a sidecar.
 *
 * @param requestId the identifier, unique among all requests of all entries
 * @param kind the operation that the target executes
 * @param account the client account
 * @param model the model, or the name of the plain service
 * @param method the HTTP method for the target
 * @param path the HTTP path for the target
 * @param body the body for the target; not copied, must not be modified
 * @param priority the priority, of which a higher one is admitted first; 0 is batch work
 * @param repeatable whether the request may run more than once
 * @param idempotencyKey the idempotency key of a request that is not repeatable, or empty
 * @param promptTokens the estimated number of tokens in the prompt, not negative
 * @param maxTokens the maximum number of output tokens, at least 1
 * @param callerTimeoutMillis the time until the caller needs the first token, in
 * milliseconds from now
 * @since 0.1
 */
public record SidecarRequest(String requestId, OperationKind kind, String account, String model, String method,
		String path, byte[] body, int priority, boolean repeatable, Optional<IdempotencyKey> idempotencyKey,
		int promptTokens, int maxTokens, long callerTimeoutMillis) {

	public SidecarRequest {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(model, "model must not be null");
		Objects.requireNonNull(idempotencyKey, "idempotencyKey must not be null");
		if (promptTokens < 0) {
			throw new IllegalArgumentException("promptTokens must not be negative but is " + promptTokens);
		}
		if (maxTokens < 1) {
			throw new IllegalArgumentException("maxTokens must be at least 1 but is " + maxTokens);
		}
	}

	/**
	 * Return the name of the generation at its target.
	 * <p>
	 * The name of a keyed request is derived from its key alone and is therefore the same
	 * for all retries.
	 * @param attempt the number of the attempt, ignored for a keyed request
	 * @return the name, unique among all generations
	 */
	public String generationName(int attempt) {
		return this.idempotencyKey.map(IdempotencyKey::generationName).orElseGet(() -> attemptName(attempt));
	}

	/**
	 * Return the name of an attempt.
	 * @param attempt the number of the attempt, starting at 1
	 * @return the name, unique among all attempts of all requests
	 */
	public String attemptName(int attempt) {
		return this.requestId + "-" + attempt;
	}

	/**
	 * Create a copy with another time until the caller needs the first token.
	 * @param millis the remaining time in milliseconds
	 * @return a copy that differs in {@code callerTimeoutMillis} only
	 */
	public SidecarRequest withCallerTimeout(long millis) {
		return new SidecarRequest(this.requestId, this.kind, this.account, this.model, this.method, this.path,
				this.body, this.priority, this.repeatable, this.idempotencyKey, this.promptTokens, this.maxTokens,
				millis);
	}

}
