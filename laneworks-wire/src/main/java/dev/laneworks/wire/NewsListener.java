package dev.laneworks.wire;

import dev.laneworks.core.follow.StoreNews;
import dev.laneworks.core.gossip.EntryNews;

/**
 * Hears what other entries tell, on the socket's own thread.
 *
 * @since 0.2
 */
public interface NewsListener {

	/**
	 * Hear of an entry's work.
	 * @param from the sender's address, {@code IP:PORT}
	 * @param news the news
	 */
	void work(String from, EntryNews news);

	/**
	 * Hear what an entry read of the platform's store, or what it asks.
	 * @param from the sender's address, {@code IP:PORT}
	 * @param news the news
	 */
	void store(String from, StoreNews news);

}
