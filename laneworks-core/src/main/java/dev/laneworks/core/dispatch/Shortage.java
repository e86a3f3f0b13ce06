package dev.laneworks.core.dispatch;

import java.util.OptionalLong;

/**
 * Reason why no target is eligible for a request.
 *
 * @param detail one sentence for the caller's operator
 * @param comeBackMillis the retry-after time in milliseconds, if known
 */
record Shortage(String detail, OptionalLong comeBackMillis) {

	static Shortage of(String detail) {
		return new Shortage(detail, OptionalLong.empty());
	}

	static Shortage until(String detail, long comeBackMillis) {
		return new Shortage(detail, OptionalLong.of(comeBackMillis));
	}

}
