package dev.laneworks.core.poison;

import java.util.HexFormat;
import java.util.Objects;

import net.openhft.hashing.LongHashFunction;
import net.openhft.hashing.LongTupleHashFunction;

/**
 * Digest of the content of a request and of its client account, identical in every
 * process.
 * <p>
 * Requests with the same account, host, path, query and body have the same digest,
 * whatever their ids, deadlines and other headers. The account is hashed separately, so
 * that no client can construct a request with the digest of another account.
 *
 * @param account the hash of the client account
 * @param high the upper half of the hash of the content
 * @param low the lower half of the hash of the content
 * @since 0.4
 */
public record RequestDigest(long account, long high, long low) {

	/**
	 * An odd factor, which keeps all information of the hash of the body: the golden
	 * ratio.
	 */
	private static final long BODY_FACTOR = 0x9E3779B97F4A7C15L;

	private static final LongHashFunction ACCOUNT_HASH = LongHashFunction.xx3();

	private static final LongTupleHashFunction CONTENT_HASH = LongTupleHashFunction.xx128();

	/**
	 * Compute the digest of a request.
	 * @param account the client account, or an empty string on an open route
	 * @param host the host that the request names
	 * @param uri the path and query, unmodified
	 * @param body the bytes of the request body
	 * @return the digest
	 */
	public static RequestDigest of(String account, String host, String uri, byte[] body) {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(body, "body must not be null");
		long[] content = CONTENT_HASH.hashBytes(body);
		long[] location = CONTENT_HASH.hashChars(host + uri);
		return new RequestDigest(ACCOUNT_HASH.hashChars(account), content[0] * BODY_FACTOR + location[0],
				content[1] * BODY_FACTOR + location[1]);
	}

	/**
	 * Format the digest for logs.
	 * @return sixteen hexadecimal digits
	 */
	public String label() {
		return HexFormat.of().toHexDigits(this.account ^ this.low);
	}

}
