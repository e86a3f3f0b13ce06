package dev.laneworks.entry.caller;

import java.net.InetSocketAddress;
import java.time.Duration;

import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.runtime.program.Addresses;

/**
 * Limits of callers' connections and requests.
 *
 * @param address the address to listen on
 * @param maxBodyBytes the maximum size of a request body
 * @param maxHeaderBytes the maximum size of a request's headers
 * @param maxHeaders the maximum number of headers of a request
 * @param maxConnections the maximum number of open connections
 * @param maxCalls the maximum number of open calls
 * @param requestTimeout the time limit for receiving a request
 * @param idleTimeout the time limit of an idle connection between requests
 * @param stalledTimeout the time after which a caller that reads no output is
 * disconnected
 * @param callerTimeout the timeout for the first token of a request that names none
 * @since 0.1
 */
public record CallerSettings(InetSocketAddress address, long maxBodyBytes, int maxHeaderBytes, int maxHeaders,
		int maxConnections, int maxCalls, Duration requestTimeout, Duration idleTimeout, Duration stalledTimeout,
		Duration callerTimeout) {

	private static final Duration MIN_TIMEOUT = Duration.ofMillis(100);

	private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

	/**
	 * Read the settings from a settings document.
	 * @param root the root of the document
	 * @return the validated settings
	 */
	public static CallerSettings read(DocumentObject root) {
		DocumentObject limits = root.object("limits");
		return new CallerSettings(Addresses.address(root, "address"), limits.size("body", 1024, 64 << 20, 1 << 20),
				(int) limits.size("head", 1024, 1 << 20, 32 << 10), (int) limits.integer("headers", 8, 1000, 64),
				(int) limits.integer("connections", 1, 1_000_000, 10_000),
				(int) limits.integer("calls", 1, 1_000_000, 4_096),
				limits.duration("request", MIN_TIMEOUT, MAX_TIMEOUT, Duration.ofSeconds(10)),
				limits.duration("idle", MIN_TIMEOUT, MAX_TIMEOUT, Duration.ofMinutes(2)),
				limits.duration("stalled", MIN_TIMEOUT, MAX_TIMEOUT, Duration.ofSeconds(30)),
				limits.duration("patience", MIN_TIMEOUT, MAX_TIMEOUT, Duration.ofSeconds(30)));
	}

}
