package dev.laneworks.core.poison;

import java.util.List;
import java.util.Objects;

import net.openhft.hashing.LongHashFunction;

/**
 * Digests of the parts of a prompt that other requests may share, identical in every
 * process.
 * <p>
 * A caller chooses the identifiers of its parts. The client account is kept beside them,
 * so that what a part did under one account is not held against another one by itself.
 *
 * @param account the hash of the client account
 * @param parts the hashes of service and identifier of each part, without duplicates, at
 * most {@value #MAX_PARTS}
 * @since 0.8
 */
public record PromptPartDigests(long account, List<Long> parts) {

	/** The most parts of one prompt that are considered; bounds the memory. */
	public static final int MAX_PARTS = 32;

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	public PromptPartDigests {
		parts = List.copyOf(parts);
		if (parts.size() > MAX_PARTS) {
			throw new IllegalArgumentException("there must be at most " + MAX_PARTS + " parts");
		}
	}

	/**
	 * Compute the digests of a prompt.
	 * @param account the client account, or an empty string on an open route
	 * @param service the service that the request is for
	 * @param ids the identifiers of the parts in order; the last one belongs to the
	 * request or its session alone and is left out
	 * @return the digests of the first parts
	 */
	public static PromptPartDigests of(String account, String service, List<String> ids) {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(service, "service must not be null");
		long serviceHash = HASH.hashChars(service);
		List<Long> parts = ids.stream()
			.limit(Math.max(0, ids.size() - 1))
			.distinct()
			.limit(MAX_PARTS)
			.map((id) -> serviceHash ^ HASH.hashChars(id))
			.toList();
		return new PromptPartDigests(HASH.hashChars(account), parts);
	}

}
