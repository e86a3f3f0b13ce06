package dev.laneworks.runtime.http;

import java.util.OptionalLong;

/**
 * Syntax of the length of a body, in requests and responses alike (RFC 9110, section
 * 8.6).
 *
 * @since 0.8
 */
public final class ContentLength {

	/** The most digits for which no value overflows a {@code long}. */
	private static final int MAX_DIGITS = 18;

	private ContentLength() {
	}

	/**
	 * Parse the value of a {@code Content-Length} field.
	 * @param value the value without surrounding white space
	 * @return the length in bytes, or empty if the value is not one number of at most 18
	 * decimal digits
	 */
	public static OptionalLong parse(String value) {
		boolean isValid = !value.isEmpty() && value.length() <= MAX_DIGITS
				&& value.chars().allMatch((c) -> c >= '0' && c <= '9');
		return isValid ? OptionalLong.of(Long.parseLong(value)) : OptionalLong.empty();
	}

}
