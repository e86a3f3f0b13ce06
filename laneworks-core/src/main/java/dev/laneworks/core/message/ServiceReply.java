package dev.laneworks.core.message;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The answer of a plain service, which travels as one piece of output.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, or empty text
 * @param body the body; not copied, must not be changed
 * @since 0.1
 */
public record ServiceReply(int status, String contentType, byte[] body) {

	private static final int STATUS_DIGITS = 3;

	/**
	 * Return the form that travels: status, a space, media type, a line end, body.
	 * @return the piece of output
	 */
	public byte[] encode() {
		byte[] head = ("%03d %s\n".formatted(this.status, this.contentType)).getBytes(StandardCharsets.UTF_8);
		byte[] encoded = Arrays.copyOf(head, head.length + this.body.length);
		System.arraycopy(this.body, 0, encoded, head.length, this.body.length);
		return encoded;
	}

	/**
	 * Read the form that travels.
	 * @param data the piece of output
	 * @return the answer
	 */
	public static ServiceReply decode(byte[] data) {
		int end = 0;
		while (end < data.length && data[end] != '\n') {
			end++;
		}
		if (end <= STATUS_DIGITS || end == data.length) {
			throw new IllegalArgumentException("a service's answer has no head");
		}
		String head = new String(data, 0, end, StandardCharsets.UTF_8);
		return new ServiceReply(Integer.parseInt(head.substring(0, STATUS_DIGITS)), head.substring(STATUS_DIGITS + 1),
				Arrays.copyOfRange(data, end + 1, data.length));
	}

}
