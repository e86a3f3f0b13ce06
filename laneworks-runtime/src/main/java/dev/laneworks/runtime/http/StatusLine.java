package dev.laneworks.runtime.http;

import java.util.Set;

/**
 * First line of a response: HTTP/1.0 or HTTP/1.1, with a status of three digits from 100
 * to 599 (RFC 9112, section 4, and RFC 9110, section 15).
 *
 * @param start the version and the status, a valid start
 * @param reason the reason phrase; may be empty
 */
record StatusLine(String start, String reason) {

	/** Start of a status line, with a question mark for each byte that varies. */
	private static final String START = "HTTP/1.? ???";

	private static final int MINOR_VERSION = START.indexOf('?');

	private static final int STATUS = START.indexOf("???");

	private static final Set<String> NO_BODY = Set.of("204", "304");

	/**
	 * Determine whether a byte may stand in a status line.
	 * @param index the index of the byte in the line
	 * @param received the byte
	 * @return {@code false} if no valid line has this byte there
	 */
	static boolean isValidAt(int index, byte received) {
		if (index >= START.length()) {
			return true;
		}
		if (START.charAt(index) != '?') {
			return received == START.charAt(index);
		}
		if (index == MINOR_VERSION) {
			return received == '0' || received == '1';
		}
		return (index == STATUS) ? received >= '1' && received <= '5' : received >= '0' && received <= '9';
	}

	/**
	 * Parse a line whose bytes are valid at their indexes.
	 * <p>
	 * Many servers leave out the space behind the status if they send no reason.
	 * @param line the line without its line feed, a character a byte
	 * @return the status line
	 * @throws MalformedResponseException if the line is incomplete or its reason invalid
	 */
	static StatusLine parse(String line) throws MalformedResponseException {
		String content = FieldLine.withoutReturn(line);
		boolean hasReason = content.length() > START.length() && content.charAt(START.length()) == ' ';
		boolean isBare = line.length() == START.length() + 1 && line.endsWith("\r");
		String reason = hasReason ? content.substring(START.length() + 1) : "";
		if (!(hasReason || isBare) || !FieldLine.isText(reason)) {
			throw malformed();
		}
		return new StatusLine(content.substring(0, START.length()), reason);
	}

	/**
	 * Create the exception for a line that is no status line.
	 * @return the exception
	 */
	static MalformedResponseException malformed() {
		return new MalformedResponseException("the server sent a malformed status line");
	}

	/**
	 * Determine whether a further response follows this one.
	 * @return {@code true} for a status below 200
	 */
	boolean isInterim() {
		return this.start.charAt(STATUS) == '1';
	}

	/**
	 * Determine whether the response ends with its head, whatever fields that has.
	 * @return {@code true} for the statuses 204 and 304
	 */
	boolean hasNoBody() {
		return NO_BODY.contains(this.start.substring(STATUS));
	}

	@Override
	public String toString() {
		return this.start + ' ' + this.reason;
	}

}
