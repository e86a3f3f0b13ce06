package dev.laneworks.core.configuration;

/**
 * A client account and its limits over the whole fleet.
 *
 * @param name the account's name
 * @param keyDigest the SHA-256 of its API key, in lower-case hexadecimal
 * @param requestsPerSecond the most requests a second, or 0 for no limit
 * @param concurrentRequests the most requests at a time, or 0 for no limit
 * @param weight its share of a crowded engine relative to other accounts
 * @since 0.1
 */
public record AccountDescription(String name, String keyDigest, double requestsPerSecond, int concurrentRequests,
		double weight) {

}
