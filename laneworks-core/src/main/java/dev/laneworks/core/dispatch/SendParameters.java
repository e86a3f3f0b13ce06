package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Optional;

/**
 * Parameters with which a request is sent to a target.
 *
 * @param account the client account, or an empty string
 * @param priority the priority at the target, 0 being the highest
 * @param resume the position to resume from, if the generation began elsewhere
 * @param liveCopy the address of the target that holds the live copy, if any
 * @since 0.2
 */
public record SendParameters(String account, int priority, Optional<ResumePoint> resume, Optional<String> liveCopy) {

	public SendParameters {
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(resume, "resume must not be null");
		Objects.requireNonNull(liveCopy, "liveCopy must not be null");
	}

}
