package dev.laneworks.core.speed;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;

/**
 * Counter of malformed load headers, which records an event at most once per interval.
 * Not thread-safe.
 *
 * @since 0.4
 */
public final class MalformedLoads {

	/** Minimum time between two events, for all targets together. */
	private static final long EVENT_INTERVAL_MILLIS = 10_000;

	private final AuditSink audit;

	private long count;

	private long unreported;

	private long nextEventAt = Long.MIN_VALUE;

	/**
	 * Create a counter.
	 * @param audit the receiver of the events
	 */
	public MalformedLoads(AuditSink audit) {
		this.audit = audit;
	}

	/**
	 * Record a malformed load header, which is ignored otherwise.
	 * @param target the id of the target that sent it
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void record(String target, long now) {
		this.count++;
		this.unreported++;
		if (now >= this.nextEventAt) {
			this.nextEventAt = now + EVENT_INTERVAL_MILLIS;
			this.audit.record(AuditEvent.of(AuditKind.TARGET_HEALTH, target, target,
					"malformed load header ignored; " + this.unreported + " since the last report of this kind"));
			this.unreported = 0;
		}
	}

	/**
	 * Return the number of malformed headers.
	 * @return the count since the start
	 */
	public long count() {
		return this.count;
	}

}
