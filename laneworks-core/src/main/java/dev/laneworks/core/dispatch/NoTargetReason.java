package dev.laneworks.core.dispatch;

import java.util.OptionalLong;

/**
 * Reason why no target is eligible for a request.
 *
 * @param detail one sentence for the caller's operator
 * @param retryAfterMillis the retry-after time in milliseconds, if known
 */
record NoTargetReason(String detail, OptionalLong retryAfterMillis) {

	static NoTargetReason of(String detail) {
		return new NoTargetReason(detail, OptionalLong.empty());
	}

	static NoTargetReason until(String detail, long delayMillis) {
		return new NoTargetReason(detail, OptionalLong.of(delayMillis));
	}

}
