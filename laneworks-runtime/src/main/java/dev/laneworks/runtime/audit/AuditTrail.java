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
 * Keeps the latest audit events, logs those that matter later, and passes all on to
 * watchers.
 * <p>
 * Ordinary steps of each request stay in memory only; changes, refusals, retries and
 * yields are logged too. Thread-safe.
 *
 * @since 0.1
 */
public final class AuditTrail implements AuditSink {

	private static final Set<AuditKind> MEMORY_ONLY = EnumSet.of(AuditKind.ROUTED, AuditKind.ADMITTED);

	/** What happens to every request that is served. */
	private static final Set<AuditKind> ROUTINE = EnumSet.of(AuditKind.ACCEPTED, AuditKind.ROUTED, AuditKind.ANSWERED);

	private final int capacity;

	private final Set<AuditKind> memoryOnly;

	private final Deque<AuditRecord> records = new ArrayDeque<>();

	private final List<Consumer<AuditRecord>> watchers = new CopyOnWriteArrayList<>();

	private long count;

	/**
	 * Create an empty trail.
	 * @param capacity the most events kept in memory
	 */
	public AuditTrail(int capacity) {
		this(capacity, MEMORY_ONLY);
	}

	/**
	 * Create an empty trail.
	 * @param capacity the most events kept in memory
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
		this.watchers.forEach((w) -> w.accept(record));
	}

	/**
	 * Return the latest events that match, newest last.
	 * @param filter which events to return
	 * @param limit the most events returned
	 * @return a copy
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
	 * Pass all later events on.
	 * @param watcher takes events on the thread that records them, which it must not hold
	 * up
	 */
	public void watch(Consumer<AuditRecord> watcher) {
		this.watchers.add(watcher);
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
