package dev.laneworks.core.message;

import java.util.Objects;
import java.util.Optional;

/**
 * A request as the sidecar sees it.
 *
 * @param requestId unique among all requests of all entries
 * @param kind what the target is asked to do
 * @param account the client account
 * @param model the model, or the name of the plain service
 * @param method the HTTP method for the target
 * @param path the HTTP path for the target
 * @param body the body for the target; not copied, must not be changed
 * @param priority higher goes first; 0 is overnight work
 * @param repeatable whether the request may run more than once
 * @param onceKey names a request that is not repeatable across the caller's tries
 * @param promptTokens the estimated number of tokens in the prompt
 * @param maxTokens the most tokens the output may have
 * @param patienceMillis how long the caller waits for its first token, from now
 * @since 0.1
 */
public record Work(String requestId, WorkKind kind, String account, String model, String method, String path,
		byte[] body, int priority, boolean repeatable, Optional<OnceKey> onceKey, int promptTokens, int maxTokens,
		long patienceMillis) {

	public Work {
		Objects.requireNonNull(requestId, "requestId must not be null");
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(model, "model must not be null");
		Objects.requireNonNull(onceKey, "onceKey must not be null");
		if (promptTokens < 0) {
			throw new IllegalArgumentException("promptTokens must not be negative but is " + promptTokens);
		}
		if (maxTokens < 1) {
			throw new IllegalArgumentException("maxTokens must be at least 1 but is " + maxTokens);
		}
	}

	/**
	 * Return the name that the generation has at its target.
	 * <p>
	 * The name of a keyed request derives from its key alone, so that every try of it has
	 * the same name.
	 * @param attempt the number of the attempt
	 * @return the name
	 */
	public String generationName(int attempt) {
		return this.onceKey.map(OnceKey::generationName).orElseGet(() -> attemptName(attempt));
	}

	/**
	 * Return the name of an attempt, which no other attempt of any request has.
	 * @param attempt the number of the attempt
	 * @return the name
	 */
	public String attemptName(int attempt) {
		return this.requestId + "-" + attempt;
	}

	/**
	 * Return a copy with another patience.
	 * @param millis how long the caller still waits, in milliseconds
	 * @return the copy
	 */
	public Work withPatience(long millis) {
		return new Work(this.requestId, this.kind, this.account, this.model, this.method, this.path, this.body,
				this.priority, this.repeatable, this.onceKey, this.promptTokens, this.maxTokens, millis);
	}

}
