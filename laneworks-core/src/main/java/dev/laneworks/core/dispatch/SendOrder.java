package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Optional;

/**
 * How a request is sent to a target.
 *
 * @param account the client account, or empty text
 * @param priority the rank at the target, 0 being the highest
 * @param resume where the generation goes on from, if it began elsewhere
 * @param backup the address of the target that a copy grows at, if any
 * @since 0.2
 */
public record SendOrder(String account, int priority, Optional<ResumePoint> resume, Optional<String> backup) {

	public SendOrder {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(resume, "resume must not be null");
		Objects.requireNonNull(backup, "backup must not be null");
	}

}
