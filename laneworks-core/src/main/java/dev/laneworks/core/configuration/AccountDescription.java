package dev.laneworks.core.configuration;

/**
 * A client account as the configuration describes it.
 *
 * @param name the account's name
 * @param keyDigest the SHA-256 of its API key, in lower-case hexadecimal
 * @param weight its share of a fully used engine, relative to other accounts
 * @since 0.1
 */
public record AccountDescription(String name, String keyDigest, double weight) {

}
