package dev.laneworks.core.peer;

/**
 * What the configuration service holds.
 *
 * @param version the version that the service holds, which may be an old one
 * @param text the document, or empty text if the version is not above the one asked about
 * @since 0.1
 */
public record PublishedDocument(long version, String text) {

}
