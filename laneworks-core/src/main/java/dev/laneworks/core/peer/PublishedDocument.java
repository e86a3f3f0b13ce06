package dev.laneworks.core.peer;

/**
 * Answer of the configuration service: its version and, if newer, the document.
 *
 * @param version the version that the service holds, which may be out of date
 * @param text the document, or empty text if the version is not newer than the one in the
 * request
 * @since 0.1
 */
public record PublishedDocument(long version, String text) {

}
