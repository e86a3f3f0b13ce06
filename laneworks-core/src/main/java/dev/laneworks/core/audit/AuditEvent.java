package dev.laneworks.core.audit;

import java.util.Objects;

/**
 * Record of one decision and its cause.
 *
 * @param kind the kind of the decision
 * @param subject the request, generation, target or version that the decision concerns
 * @param account the client account, or empty text
 * @param target the target, or empty text
 * @param cause the cause of the decision, as text for operators
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
	 * Create an event without a client account.
	 * @param kind the kind of the decision
	 * @param subject the request, generation, target or version that the decision
	 * concerns
	 * @param target the target, or empty text
	 * @param cause the cause of the decision, as text for operators
	 * @return an event whose account is empty text
	 */
	public static AuditEvent of(AuditKind kind, String subject, String target, String cause) {
		return new AuditEvent(kind, subject, "", target, cause);
	}

}
