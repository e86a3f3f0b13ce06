package dev.laneworks.core.message;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;

/**
 * Idempotency key of a request that may run at most once, shared by all retries of its
 * caller.
 *
 * @param account the client account that chose the key
 * @param key the caller's key, or the identity of a ticket; not empty
 * @param ticketIncarnation the incarnation of the sidecar named by a ticket, or
 * {@link #NO_TICKET}
 * @since 0.1
 */
public record IdempotencyKey(String account, String key, long ticketIncarnation) {

	/** Incarnation of a key without a ticket. */
	public static final long NO_TICKET = 0L;

	private static final int NAME_BYTES = 16;

	public IdempotencyKey {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(key, "key must not be null");
		if (key.isEmpty()) {
			throw new IllegalArgumentException("key must not be empty");
		}
	}

	/**
	 * Determine whether the key belongs to a ticket.
	 * @return {@code true} if a ticket names the home of the key
	 */
	public boolean hasTicket() {
		return this.ticketIncarnation != NO_TICKET;
	}

	/**
	 * Return the name of the only generation that may run for this key.
	 * @return a name derived from the account and the key, the same at every instance
	 */
	public String generationName() {
		byte[] digest = sha256().digest((this.account + '\0' + this.key).getBytes(StandardCharsets.UTF_8));
		return "once-" + HexFormat.of().formatHex(digest, 0, NAME_BYTES);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

}
