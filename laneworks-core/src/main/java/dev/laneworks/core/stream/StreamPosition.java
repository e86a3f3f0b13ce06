package dev.laneworks.core.stream;

import java.util.Objects;

/**
 * Position in the output of one generation, from which any entry can resume reading.
 *
 * @param target the target that holds the generation
 * @param incarnation the incarnation of the sidecar that started the generation
 * @param generation the generation's name
 * @param account the client account that may read the output
 * @param offset the offset of the first chunk that the caller has not read, not negative
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
