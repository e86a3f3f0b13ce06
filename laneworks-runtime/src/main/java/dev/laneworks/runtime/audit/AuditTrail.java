package dev.laneworks.runtime.audit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Predicate;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.runtime.log.LogLine;

/**
 * Bounded in-memory store of the latest audit events, which also logs events and notifies
 * listeners.
 * <p>
 * Events of some kinds, by default the usual steps of each request, stay in memory and
 * are not logged. Thread-safe.
 *
 * @since 0.1
 */
public final class AuditTrail implements AuditSink {

	private static final Set<AuditKind> NOT_LOGGED = EnumSet.of(AuditKind.ROUTED, AuditKind.ADMITTED);

	/** Kinds that occur for every request and are dropped first under load. */
	private static final Set<AuditKind> ROUTINE = EnumSet.of(AuditKind.ACCEPTED, AuditKind.QUEUED, AuditKind.ROUTED,
			AuditKind.ANSWERED);

	private final int capacity;

	private final Set<AuditKind> memoryOnly;

	private final Deque<AuditRecord> records = new ArrayDeque<>();

	private final List<Consumer<AuditRecord>> listeners = new CopyOnWriteArrayList<>();

	private long count;

	/**
	 * Create an empty trail that does not log routing and admission.
	 * @param capacity the maximum number of events kept in memory
	 */
	public AuditTrail(int capacity) {
		this(capacity, NOT_LOGGED);
	}

	/**
	 * Create an empty trail.
	 * @param capacity the maximum number of events kept in memory
	 * @param memoryOnly the kinds that are not logged
	 */
	public AuditTrail(int capacity, Set<AuditKind> memoryOnly) {
		if (capacity < 1) {
			throw new IllegalArgumentException("capacity must be at least 1 but is " + capacity);
		}
		this.memoryOnly = Set.copyOf(memoryOnly);
		this.capacity = capacity;
	}

	@Override
	public void record(AuditEvent event) {
		AuditRecord record = add(event);
		if (!this.memoryOnly.contains(event.kind())) {
			LogLine line = LogLine.of("audit")
				.with("kind", event.kind().label())
				.with("subject", event.subject())
				.with("account", event.account())
				.with("target", event.target())
				.with("cause", event.cause());
			if (ROUTINE.contains(event.kind())) {
				line.routine();
			}
			else {
				line.info();
			}
		}
		this.listeners.forEach((l) -> l.accept(record));
	}

	/**
	 * Return the latest events that match a filter.
	 * @param filter selects the events to return
	 * @param limit the maximum number of events returned
	 * @return the events, newest last; a copy that the caller may modify
	 */
	public synchronized List<AuditRecord> latest(Predicate<AuditEvent> filter, int limit) {
		List<AuditRecord> matching = new ArrayList<>();
		var newestFirst = this.records.descendingIterator();
		while (newestFirst.hasNext() && matching.size() < limit) {
			AuditRecord record = newestFirst.next();
			if (filter.test(record.event())) {
				matching.add(0, record);
			}
		}
		return matching;
	}

	/**
	 * Register a listener for all events recorded from now on.
	 * @param listener called on the thread that records an event; must not block
	 */
	public void addListener(Consumer<AuditRecord> listener) {
		this.listeners.add(listener);
	}

	private synchronized AuditRecord add(AuditEvent event) {
		AuditRecord record = new AuditRecord(++this.count, System.currentTimeMillis(), event);
		this.records.addLast(record);
		if (this.records.size() > this.capacity) {
			this.records.removeFirst();
		}
		return record;
	}

}
