package dev.laneworks.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * LRU cache of prompt prefixes, bounded by their total number of tokens.
 * <p>
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class PrefixCache {

	private static final int INITIAL_CAPACITY = 16;

	private static final float LOAD_FACTOR = 0.75f;

	private final long capacityTokens;

	private final Listener listener;

	private final Map<Long, Integer> prefixes = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

	private long totalTokens;

	/**
	 * Create an empty cache.
	 * @param capacityTokens the maximum total number of tokens
	 * @param listener notified when a prefix is stored or evicted
	 */
	public PrefixCache(long capacityTokens, Listener listener) {
		this.capacityTokens = capacityTokens;
		this.listener = listener;
	}

	/**
	 * Look up a prefix and store it if it is absent, evicting the least recently used
	 * prefixes above the capacity.
	 * @param hash the prefix's hash
	 * @param tokenCount the number of tokens in the prefix
	 * @return {@code true} if the prefix was present
	 */
	public boolean lookUpOrStore(long hash, int tokenCount) {
		if (this.prefixes.get(hash) != null) {
			return true;
		}
		this.prefixes.put(hash, tokenCount);
		this.totalTokens += tokenCount;
		this.listener.onChange(hash, true);
		Iterator<Map.Entry<Long, Integer>> eldest = this.prefixes.entrySet().iterator();
		while (this.totalTokens > this.capacityTokens && eldest.hasNext()) {
			Map.Entry<Long, Integer> evicted = eldest.next();
			eldest.remove();
			this.totalTokens -= evicted.getValue();
			this.listener.onChange(evicted.getKey(), false);
		}
		return false;
	}

	/**
	 * Listener for changes to the cache's content.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Handle the storing or eviction of a prefix.
		 * @param hash the prefix's hash
		 * @param stored {@code true} if it was stored, {@code false} if it was evicted
		 */
		void onChange(long hash, boolean stored);

	}

}
