package dev.laneworks.standin.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Keeps the prompt prefixes used last, within a bound of tokens.
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

	private long tokens;

	/**
	 * Create an empty cache.
	 * @param capacityTokens the most tokens kept
	 * @param listener hears of changes
	 */
	public PrefixCache(long capacityTokens, Listener listener) {
		this.capacityTokens = capacityTokens;
		this.listener = listener;
	}

	/**
	 * Use a prefix, keeping it from now on.
	 * @param hash names the prefix
	 * @param length its tokens
	 * @return whether it was kept before
	 */
	public boolean use(long hash, int length) {
		if (this.prefixes.get(hash) != null) {
			return true;
		}
		this.prefixes.put(hash, length);
		this.tokens += length;
		this.listener.onChange(hash, true);
		Iterator<Map.Entry<Long, Integer>> oldest = this.prefixes.entrySet().iterator();
		while (this.tokens > this.capacityTokens && oldest.hasNext()) {
			Map.Entry<Long, Integer> dropped = oldest.next();
			oldest.remove();
			this.tokens -= dropped.getValue();
			this.listener.onChange(dropped.getKey(), false);
		}
		return false;
	}

	/**
	 * Hears of changes.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Hear of a change.
		 * @param hash names the prefix
		 * @param stored whether it was stored rather than dropped
		 */
		void onChange(long hash, boolean stored);

	}

}
