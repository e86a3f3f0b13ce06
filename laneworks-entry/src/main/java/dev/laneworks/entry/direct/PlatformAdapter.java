package dev.laneworks.entry.direct;

import dev.laneworks.runtime.http.HttpCaller;
import org.xnio.XnioIoThread;

/**
 * Translates between the product and one platform. It decides nothing.
 *
 * @param headers the headers of requests and answers
 * @param source the store that is followed
 * @param engines the orders to engines
 * @since 0.2
 */
public record PlatformAdapter(HeaderTranslation headers, ServingSource source, EngineOrders engines) {

	/**
	 * Creates an adapter.
	 */
	@FunctionalInterface
	public interface Factory {

		/**
		 * Create the adapter.
		 * @param settings the entry's settings
		 * @param http what calls HTTP servers
		 * @param thread the thread that answers are to come on
		 * @return the adapter
		 */
		PlatformAdapter create(DirectSettings settings, HttpCaller http, XnioIoThread thread);

	}

}
