package dev.laneworks.core.message;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Answer of a plain service, which is sent as one chunk of output.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body, or empty text
 * @param body the body; not copied, must not be modified
 * @since 0.1
 */
public record ServiceReply(int status, String contentType, byte[] body) {

	private static final int STATUS_DIGITS = 3;

	/**
	 * Encode the answer as status, a space, media type, a line feed and the body.
	 * @return the chunk of output
	 */
	public byte[] encode() {
		byte[] head = ("%03d %s\n".formatted(this.status, this.contentType)).getBytes(StandardCharsets.UTF_8);
		byte[] encoded = Arrays.copyOf(head, head.length + this.body.length);
		System.arraycopy(this.body, 0, encoded, head.length, this.body.length);
		return encoded;
	}

	/**
	 * Decode an answer.
	 * @param data the chunk of output, as returned by {@link #encode}
	 * @return the decoded answer
	 * @throws IllegalArgumentException if the head is missing or its status is not a
	 * number
	 */
	public static ServiceReply decode(byte[] data) {
		int headEnd = 0;
		while (headEnd < data.length && data[headEnd] != '\n') {
			headEnd++;
		}
		if (headEnd <= STATUS_DIGITS || headEnd == data.length) {
			throw new IllegalArgumentException("the answer of a service has no head with a status and a line end");
		}
		String head = new String(data, 0, headEnd, StandardCharsets.UTF_8);
		return new ServiceReply(Integer.parseInt(head.substring(0, STATUS_DIGITS)), head.substring(STATUS_DIGITS + 1),
				Arrays.copyOfRange(data, headEnd + 1, data.length));
	}

}
