package dev.laneworks.core.dispatch;

import java.util.OptionalLong;

/**
 * Why no target is left for a request.
 *
 * @param detail one sentence for the caller's operator
 * @param comeBackMillis when one is likely to be there, in milliseconds, if that is known
 */
record Shortage(String detail, OptionalLong comeBackMillis) {

	static Shortage of(String detail) {
		return new Shortage(detail, OptionalLong.empty());
	}

	static Shortage until(String detail, long comeBackMillis) {
		return new Shortage(detail, OptionalLong.of(comeBackMillis));
	}

}
