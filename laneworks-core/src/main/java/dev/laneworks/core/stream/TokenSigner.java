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
 * Creates and verifies the signed tokens in which callers hold positions and tickets.
 * <p>
 * A token is the URL-safe Base64 encoding of a truncated HMAC-SHA256 and the payload. It
 * is authenticated but not encrypted. Not thread-safe.
 *
 * @since 0.1
 */
public final class TokenSigner {

	/** Minimum length of the secret, in bytes. */
	public static final int MIN_SECRET_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private static final int TAG_BYTES = 12;

	private static final int MAX_TOKEN_LENGTH = 1024;

	private static final int POSITION_FIELDS = 5;

	private static final int TICKET_FIELDS = 4;

	private static final int HEX_RADIX = 16;

	private final Mac mac;

	/**
	 * Create an instance with the given secret.
	 * @param secret the secret shared by all entries, at least {@value #MIN_SECRET_BYTES}
	 * bytes
	 */
	public TokenSigner(byte[] secret) {
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
	 * Create a signed token of a position.
	 * @param position the position to encode
	 * @return the token, which is safe in a header and in the identifier of an event
	 */
	public String signPosition(StreamPosition position) {
		return sign(TokenType.POSITION, position.target(), Long.toHexString(position.incarnation()),
				position.generation(), position.account(), Long.toString(position.offset()));
	}

	/**
	 * Verify a token and decode its position.
	 * @param token the token as received from a caller
	 * @return the position, or empty if the token was not signed with this secret or does
	 * not encode a position
	 */
	public Optional<StreamPosition> verifyPosition(String token) {
		return verify(TokenType.POSITION, token, POSITION_FIELDS).map((f) -> new StreamPosition(f[0],
				Long.parseUnsignedLong(f[1], HEX_RADIX), f[2], f[3], Long.parseLong(f[4])));
	}

	/**
	 * Create a signed token of a ticket.
	 * @param ticket the ticket to encode
	 * @return the token, which is safe in a header
	 */
	public String signTicket(RequestTicket ticket) {
		return sign(TokenType.TICKET, ticket.target(), Long.toHexString(ticket.incarnation()), ticket.account(),
				ticket.identity());
	}

	/**
	 * Verify a token and decode its ticket.
	 * @param token the token as received from a caller
	 * @return the ticket, or empty if the token was not signed with this secret or does
	 * not encode a ticket
	 */
	public Optional<RequestTicket> verifyTicket(String token) {
		return verify(TokenType.TICKET, token, TICKET_FIELDS)
			.map((f) -> new RequestTicket(f[0], Long.parseUnsignedLong(f[1], HEX_RADIX), f[2], f[3]));
	}

	private String sign(TokenType type, String... fields) {
		byte[] payload = (type.code + String.join("\0", fields)).getBytes(StandardCharsets.UTF_8);
		byte[] token = ByteBuffer.allocate(TAG_BYTES + payload.length).put(tag(payload)).put(payload).array();
		return Base64.getUrlEncoder().withoutPadding().encodeToString(token);
	}

	private Optional<String[]> verify(TokenType type, String token, int fieldCount) {
		if (token.length() > MAX_TOKEN_LENGTH) {
			return Optional.empty();
		}
		byte[] bytes;
		try {
			bytes = Base64.getUrlDecoder().decode(token);
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
