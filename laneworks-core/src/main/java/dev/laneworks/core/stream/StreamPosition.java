package dev.laneworks.core.stream;

import java.util.Objects;

/**
 * A place in the output of one generation, from which any entry can go on.
 *
 * @param target the target that holds the generation
 * @param incarnation the incarnation of the sidecar that started it
 * @param generation the generation's name
 * @param account the client account that may read it
 * @param offset the first piece that the caller has not seen
 * @since 0.1
 */
public record StreamPosition(String target, long incarnation, String generation, String account, long offset) {

	public StreamPosition {
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(generation, "generation must not be null");
		Objects.requireNonNull(account, "account must not be null");
		if (offset < 0) {
			throw new IllegalArgumentException("offset must not be negative but is " + offset);
		}
	}

}
