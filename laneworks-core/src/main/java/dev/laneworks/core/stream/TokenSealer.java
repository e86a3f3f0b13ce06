package dev.laneworks.core.stream;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Seals small values that callers carry for the system, so that no caller can make or
 * change one.
 * <p>
 * The sealed form is URL-safe Base64 of a truncated HMAC-SHA256 and the payload. It is
 * authenticated but not secret. Not thread-safe.
 *
 * @since 0.1
 */
public final class TokenSealer {

	/** The least length of a secret, in bytes. */
	public static final int MIN_SECRET_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private static final int TAG_BYTES = 12;

	private static final int MAX_SEALED_LENGTH = 1024;

	private static final int POSITION_FIELDS = 5;

	private static final int TICKET_FIELDS = 4;

	private static final int HEX = 16;

	private final Mac mac;

	/**
	 * Create a sealer.
	 * @param secret the secret that all entries share, at least
	 * {@value #MIN_SECRET_BYTES} bytes
	 */
	public TokenSealer(byte[] secret) {
		if (secret.length < MIN_SECRET_BYTES) {
			throw new IllegalArgumentException(
					"secret must have at least " + MIN_SECRET_BYTES + " bytes but has " + secret.length);
		}
		try {
			this.mac = Mac.getInstance(ALGORITHM);
			this.mac.init(new SecretKeySpec(secret, ALGORITHM));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", ex);
		}
	}

	/**
	 * Seal a position.
	 * @param position the position
	 * @return the sealed form, safe in a header and in an event's identity
	 */
	public String sealPosition(StreamPosition position) {
		return seal(TokenType.POSITION, position.target(), Long.toHexString(position.incarnation()),
				position.generation(), position.account(), Long.toString(position.offset()));
	}

	/**
	 * Open a sealed position.
	 * @param sealed the sealed form
	 * @return the position, or empty if it was not sealed with this secret
	 */
	public Optional<StreamPosition> openPosition(String sealed) {
		return open(TokenType.POSITION, sealed, POSITION_FIELDS)
			.map((f) -> new StreamPosition(f[0], Long.parseUnsignedLong(f[1], HEX), f[2], f[3], Long.parseLong(f[4])));
	}

	/**
	 * Seal a ticket.
	 * @param ticket the ticket
	 * @return the sealed form, safe in a header
	 */
	public String sealTicket(OnceTicket ticket) {
		return seal(TokenType.TICKET, ticket.target(), Long.toHexString(ticket.incarnation()), ticket.account(),
				ticket.identity());
	}

	/**
	 * Open a sealed ticket.
	 * @param sealed the sealed form
	 * @return the ticket, or empty if it was not sealed with this secret
	 */
	public Optional<OnceTicket> openTicket(String sealed) {
		return open(TokenType.TICKET, sealed, TICKET_FIELDS)
			.map((f) -> new OnceTicket(f[0], Long.parseUnsignedLong(f[1], HEX), f[2], f[3]));
	}

	private String seal(TokenType type, String... fields) {
		byte[] payload = (type.code + String.join("\0", fields)).getBytes(StandardCharsets.UTF_8);
		byte[] sealed = ByteBuffer.allocate(TAG_BYTES + payload.length).put(tag(payload)).put(payload).array();
		return Base64.getUrlEncoder().withoutPadding().encodeToString(sealed);
	}

	private Optional<String[]> open(TokenType type, String sealed, int fieldCount) {
		if (sealed.length() > MAX_SEALED_LENGTH) {
			return Optional.empty();
		}
		byte[] bytes;
		try {
			bytes = Base64.getUrlDecoder().decode(sealed);
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
		if (bytes.length <= TAG_BYTES) {
			return Optional.empty();
		}
		byte[] payload = Arrays.copyOfRange(bytes, TAG_BYTES, bytes.length);
		if (!MessageDigest.isEqual(tag(payload), Arrays.copyOf(bytes, TAG_BYTES))) {
			return Optional.empty();
		}
		String text = new String(payload, StandardCharsets.UTF_8);
		String[] fields = text.substring(1).split("\0", -1);
		return (text.charAt(0) == type.code && fields.length == fieldCount) ? Optional.of(fields) : Optional.empty();
	}

	private byte[] tag(byte[] payload) {
		return Arrays.copyOf(this.mac.doFinal(payload), TAG_BYTES);
	}

	private enum TokenType {

		POSITION('p'), TICKET('t');

		private final char code;

		TokenType(char code) {
			this.code = code;
		}

	}

}
