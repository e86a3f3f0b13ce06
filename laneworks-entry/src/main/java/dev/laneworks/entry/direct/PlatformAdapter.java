package dev.laneworks.entry.direct;

import dev.laneworks.runtime.http.AsyncHttpClient;
import org.xnio.XnioIoThread;

/**
 * Adapter between the entry and one platform, which contains no decisions.
 *
 * @param headers the translation of request and answer headers
 * @param source the access to the platform's store
 * @param engines the control commands to engines
 * @since 0.2
 */
public record PlatformAdapter(HeaderTranslator headers, ConfigurationSource source, EngineCommands engines) {

	/**
	 * Factory of adapters.
	 */
	@FunctionalInterface
	public interface Factory {

		/**
		 * Create the adapter.
		 * @param settings the settings of the entry
		 * @param http the HTTP client
		 * @param thread the I/O thread that answers are delivered on
		 * @return the adapter
		 */
		PlatformAdapter create(DirectSettings settings, AsyncHttpClient http, XnioIoThread thread);

	}

}
