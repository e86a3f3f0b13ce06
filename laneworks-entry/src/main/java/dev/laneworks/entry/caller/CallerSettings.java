package dev.laneworks.entry.caller;

import java.net.InetSocketAddress;
import java.time.Duration;

import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.runtime.program.Addresses;

/**
 * The bounds of callers' connections and requests.
 *
 * @param address where callers reach the entry
 * @param maxBodyBytes the largest body
 * @param maxHeaderBytes the largest head
 * @param maxHeaders the most headers
 * @param maxConnections the most connections
 * @param maxCalls the most calls open at a time
 * @param requestTimeout how long a connection may take to send a request
 * @param idleTimeout how long a connection may be idle between requests
 * @param stalledTimeout how long a caller may take none of its output
 * @param patience how long a caller waits for its first token if it does not say
 * @since 0.1
 */
public record CallerSettings(InetSocketAddress address, long maxBodyBytes, int maxHeaderBytes, int maxHeaders,
		int maxConnections, int maxCalls, Duration requestTimeout, Duration idleTimeout, Duration stalledTimeout,
		Duration patience) {

	private static final Duration MIN = Duration.ofMillis(100);

	private static final Duration MAX = Duration.ofHours(1);

	/**
	 * Read the settings.
	 * @param root the document
	 * @return the settings
	 */
	public static CallerSettings read(DocumentObject root) {
		DocumentObject limits = root.object("limits");
		return new CallerSettings(Addresses.address(root, "address"), limits.size("body", 1024, 64 << 20, 1 << 20),
				(int) limits.size("head", 1024, 1 << 20, 32 << 10), (int) limits.integer("headers", 8, 1000, 64),
				(int) limits.integer("connections", 1, 1_000_000, 10_000),
				(int) limits.integer("calls", 1, 1_000_000, 4_096),
				limits.duration("request", MIN, MAX, Duration.ofSeconds(10)),
				limits.duration("idle", MIN, MAX, Duration.ofMinutes(2)),
				limits.duration("stalled", MIN, MAX, Duration.ofSeconds(30)),
				limits.duration("patience", MIN, MAX, Duration.ofSeconds(30)));
	}

}
