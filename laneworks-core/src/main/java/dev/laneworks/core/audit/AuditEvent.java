package dev.laneworks.core.audit;

import java.util.Objects;

/**
 * One decision and its cause.
 *
 * @param kind what it is about
 * @param subject the request, generation, target or version that it concerns
 * @param account the client account, or empty text
 * @param target the target, or empty text
 * @param cause why it was decided so
 * @since 0.1
 */
public record AuditEvent(AuditKind kind, String subject, String account, String target, String cause) {

	public AuditEvent {
		Objects.requireNonNull(kind, "kind must not be null");
		Objects.requireNonNull(subject, "subject must not be null");
		Objects.requireNonNull(account, "account must not be null");
		Objects.requireNonNull(target, "target must not be null");
		Objects.requireNonNull(cause, "cause must not be null");
	}

	/**
	 * Create an event that concerns no account.
	 * @param kind what it is about
	 * @param subject what it concerns
	 * @param target the target, or empty text
	 * @param cause why it was decided so
	 * @return the event
	 */
	public static AuditEvent of(AuditKind kind, String subject, String target, String cause) {
		return new AuditEvent(kind, subject, "", target, cause);
	}

}
