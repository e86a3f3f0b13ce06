package dev.laneworks.runtime.http;

/**
 * Line of a head or of a trailer section that has a valid field name and value (RFC 9112,
 * section 5, and RFC 9110, sections 5.5 and 5.6.2).
 * <p>
 * A line that continues the one before it is not valid.
 *
 * @param name the field's name, a token
 * @param value the field's value without leading and trailing white space, a character a
 * byte
 */
record FieldLine(String name, String value) {

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private static final char DELETE = 0x7f;

	/**
	 * Parse a line.
	 * @param line the line without its terminator, a character a byte
	 * @return the field
	 * @throws MalformedResponseException if the line is no valid field
	 */
	static FieldLine parse(String line) throws MalformedResponseException {
		int colon = line.indexOf(':');
		if (colon < 0) {
			throw new MalformedResponseException("the server sent a line that is no field");
		}
		String name = line.substring(0, colon);
		if (name.isEmpty() || !name.chars().allMatch(FieldLine::isTokenCharacter)) {
			throw new MalformedResponseException("the server sent a field with a malformed name");
		}
		String value = line.substring(colon + 1);
		if (!isText(value)) {
			throw new MalformedResponseException("the server sent a malformed value of " + name);
		}
		return new FieldLine(name, trim(value));
	}

	/**
	 * Remove the carriage return of a line that ends with CR LF.
	 * @param line the line without its line feed
	 * @return the line without its terminator
	 */
	static String withoutReturn(String line) {
		return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
	}

	/**
	 * Determine whether a text may be a field's value or a reason phrase.
	 * @param text the text, a character a byte
	 * @return {@code true} if its only control characters are tabs
	 */
	static boolean isText(String text) {
		return text.chars().allMatch(FieldLine::isTextCharacter);
	}

	/**
	 * Determine whether a character may stand in a text.
	 * @param character the character, from 0 to 255
	 * @return {@code false} for control characters, but for the tab
	 */
	static boolean isTextCharacter(int character) {
		return (character >= ' ' && character != DELETE) || character == '\t';
	}

	private static boolean isTokenCharacter(int character) {
		return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| (character >= '0' && character <= '9') || TOKEN_SYMBOLS.indexOf(character) >= 0;
	}

	private static String trim(String value) {
		int start = 0;
		int end = value.length();
		while (start < end && isBlank(value.charAt(start))) {
			start++;
		}
		while (end > start && isBlank(value.charAt(end - 1))) {
			end--;
		}
		return value.substring(start, end);
	}

	private static boolean isBlank(char character) {
		return character == ' ' || character == '\t';
	}

}
