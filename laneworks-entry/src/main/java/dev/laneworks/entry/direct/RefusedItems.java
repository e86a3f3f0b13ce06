package dev.laneworks.entry.direct;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditSink;

/**
 * The items of the store that can't be used, each told once for as long as its fault
 * stays the same.
 * <p>
 * Another writer may write an item again several times a second, and a list that is read
 * anew holds all of them again. No more is remembered than the store has keys. Not
 * thread-safe.
 */
final class RefusedItems {

	private final Map<String, String> faults = new HashMap<>();

	private final AuditSink audit;

	RefusedItems(AuditSink audit) {
		this.audit = audit;
	}

	/**
	 * Take that an item can't be used.
	 * @param key its key
	 * @param event what is told of it; the cause is the fault
	 */
	void refuse(String key, AuditEvent event) {
		if (!event.cause().equals(this.faults.put(key, event.cause()))) {
			this.audit.record(event);
		}
	}

	// Take that an item can be used, or that it went.
	void forget(String key) {
		this.faults.remove(key);
	}

	// Take that the store holds no other keys than these.
	void retain(Set<String> keys) {
		this.faults.keySet().retainAll(keys);
	}

	int count() {
		return this.faults.size();
	}

}
