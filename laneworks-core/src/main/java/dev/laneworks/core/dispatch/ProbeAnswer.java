package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Answer of a process at a target's address to a request for its identity.
 *
 * @param connection the connection on which the process answered
 * @param targetId the id that the process states; empty if it states none
 * @param misdirected whether the process states that it is not the target that the
 * request names
 * @since 0.9
 */
public record ProbeAnswer(Connection connection, Optional<String> targetId, boolean misdirected) {

	public ProbeAnswer {
		Objects.requireNonNull(connection, "connection must not be null");
		Objects.requireNonNull(targetId, "targetId must not be null");
	}

	/**
	 * Determine what the answer proves about the process that served an attempt.
	 * <p>
	 * An address may be taken over by another process within milliseconds, so that an
	 * answer without an id on a new connection proves nothing. A target that is listed
	 * with its start time may start again under its id.
	 * @param target the target of the attempt, as it was listed when the attempt began
	 * @param isReplaced whether another incarnation of the target is known
	 * @return the identity of the process that answered
	 */
	ProcessIdentity identify(ListedTarget target, boolean isReplaced) {
		if (this.misdirected || this.targetId.filter((i) -> !i.equals(target.id())).isPresent()) {
			return ProcessIdentity.OTHER;
		}
		if (this.connection == Connection.EARLIER) {
			return ProcessIdentity.SAME;
		}
		if (isReplaced) {
			return ProcessIdentity.OTHER;
		}
		boolean mayBeRestarted = target.startMillis().isPresent() && this.connection == Connection.NEW_AFTER_LOSS;
		return (this.targetId.isPresent() && !mayBeRestarted) ? ProcessIdentity.SAME : ProcessIdentity.UNKNOWN;
	}

	/**
	 * Connection on which a process states its identity.
	 */
	public enum Connection {

		/**
		 * Established while the process sent the answer, and used after its end.
		 */
		EARLIER,

		/** Established after the end of the answer. */
		NEW,

		/**
		 * Established after the end of the answer, and after an earlier connection turned
		 * out to be closed.
		 */
		NEW_AFTER_LOSS

	}

}
