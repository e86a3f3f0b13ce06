package dev.laneworks.core.once;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Set of names with an expiry time each.
 * <p>
 * Names are removed in the order of their addition, so a name whose expiry time is
 * earlier than that of one added before it may be kept longer. Not thread-safe.
 *
 * @since 0.1
 */
public final class ExpiringNames {

	private final Map<String, Long> expiryTimes = new LinkedHashMap<>();

	/**
	 * Add a name, or replace its expiry time if it is present.
	 * @param name the name
	 * @param until the expiry time in milliseconds
	 */
	public void add(String name, long until) {
		this.expiryTimes.remove(name);
		this.expiryTimes.put(name, until);
	}

	/**
	 * Determine whether a name is present.
	 * @param name the name
	 * @return {@code true} if it was added and not removed by {@link #expire}
	 */
	public boolean contains(String name) {
		return this.expiryTimes.containsKey(name);
	}

	/**
	 * Remove expired names.
	 * @param now the current time in milliseconds
	 */
	public void expire(long now) {
		Iterator<Long> times = this.expiryTimes.values().iterator();
		while (times.hasNext() && times.next() <= now) {
			times.remove();
		}
	}

	/**
	 * Return the size of the set.
	 * @return the number of names
	 */
	public int size() {
		return this.expiryTimes.size();
	}

}
