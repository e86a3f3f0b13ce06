package dev.laneworks.entry.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditSink;

/**
 * Store items that cannot be used, with one audit event per item until its fault changes.
 * <p>
 * Prevents repeated events for items that are rewritten or reread often. Remembers at
 * most one fault per key of the store. Not thread-safe.
 */
final class RefusedItems {

	private final Map<String, String> faults = new HashMap<>();

	private final AuditSink audit;

	RefusedItems(AuditSink audit) {
		this.audit = audit;
	}

	/**
	 * Record that an item cannot be used.
	 * @param key the key of the item
	 * @param event the audit event, whose cause is the fault
	 */
	void refuse(String key, AuditEvent event) {
		if (!event.cause().equals(this.faults.put(key, event.cause()))) {
			this.audit.record(event);
		}
	}

	// Record that an item is usable again or was removed.
	void forget(String key) {
		this.faults.remove(key);
	}

	// Discard the faults of all keys but these.
	void retain(Set<String> keys) {
		this.faults.keySet().retainAll(keys);
	}

	int count() {
		return this.faults.size();
	}

}
