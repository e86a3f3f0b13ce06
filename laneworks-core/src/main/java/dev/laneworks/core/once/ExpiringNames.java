package dev.laneworks.core.once;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers names for a time, oldest forgotten first.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class ExpiringNames {

	private final Map<String, Long> expiry = new LinkedHashMap<>();

	/**
	 * Remember a name, from now on if it is remembered already.
	 * @param name the name
	 * @param until when to forget it, in milliseconds
	 */
	public void add(String name, long until) {
		this.expiry.remove(name);
		this.expiry.put(name, until);
	}

	/**
	 * Return whether a name is remembered.
	 * @param name the name
	 * @return {@code true} if it was added and not forgotten
	 */
	public boolean contains(String name) {
		return this.expiry.containsKey(name);
	}

	/**
	 * Forget the names whose time is over.
	 * @param now the time in milliseconds
	 */
	public void expire(long now) {
		Iterator<Long> times = this.expiry.values().iterator();
		while (times.hasNext() && times.next() <= now) {
			times.remove();
		}
	}

	/**
	 * Return how many names are remembered.
	 * @return the count
	 */
	public int size() {
		return this.expiry.size();
	}

}
