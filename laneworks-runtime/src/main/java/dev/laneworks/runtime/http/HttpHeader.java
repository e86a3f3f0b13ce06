package dev.laneworks.runtime.http;

/**
 * A header of a request.
 *
 * @param name the header's name
 * @param value the value
 * @since 0.1
 */
public record HttpHeader(String name, String value) {

}
