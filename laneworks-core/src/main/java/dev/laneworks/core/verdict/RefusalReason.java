package dev.laneworks.core.verdict;

import java.util.Locale;

/**
 * Reason why a request was refused or ended early.
 *
 * @since 0.1
 */
public enum RefusalReason {

	/** The request is malformed. */
	BAD_REQUEST(400),

	/** The request exceeds the maximum size. */
	TOO_LARGE(413),

	/** The head of the request exceeds the maximum size. */
	HEAD_TOO_LARGE(431),

	/** The body of the request did not arrive in time. */
	BODY_TOO_SLOW(408),

	/** No route matches the request's host and path. */
	UNKNOWN_ROUTE(404),

	/** The credentials do not belong to a client account. */
	UNKNOWN_ACCOUNT(401),

	/** The account has no intent for the model or service. */
	UNKNOWN_MODEL(404),

	/** The account exceeded one of its own limits. */
	ACCOUNT_LIMIT(429),

	/** No target can accept the request now, or this process cannot. */
	OVERLOADED(503),

	/** No slot would become free before the caller's timeout. */
	WAIT_TOO_LONG(503),

	/** No target is known and reachable. */
	NO_TARGET(503),

	/** The target is draining. */
	LEAVING(503),

	/** Targets crashed while executing similar requests, which are quarantined. */
	QUARANTINED(503),

	/** The request was revoked before it ran. */
	WITHDRAWN(503),

	/** The target rejected the request. */
	TARGET_REFUSED(503),

	/** The connection to the target failed or its answer was lost. */
	TARGET_LOST(502),

	/** The link to the sidecar was lost and not restored in time. */
	LINK_LOST(504),

	/** The target no longer holds the generation. */
	GENERATION_UNKNOWN(410),

	/** Another reader attached to the stream. */
	SUPERSEDED(409),

	/** An earlier attempt with the same key may have run at another target. */
	KEY_IN_DOUBT(409),

	/**
	 * The process may lack what it would need to decide: the sidecar's list of published
	 * targets is too old to decide on a key, or the entry knows of a newer plan.
	 */
	STALE_VIEW(503),

	/** The caller disconnected and the generation was cancelled. */
	CANCELLED(499),

	/** The process is not ready to serve. */
	NOT_READY(503);

	private final int status;

	RefusalReason(int status) {
		this.status = status;
	}

	/**
	 * Return the HTTP status sent to the caller for this reason.
	 * @return a status code between 400 and 599
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Return the label used in problem documents and logs.
	 * @return the lower-case name with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
