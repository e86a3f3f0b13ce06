package dev.laneworks.runtime.http;

/**
 * Header of a request or response.
 *
 * @param name the header's name, in any case
 * @param value the header's value
 * @since 0.1
 */
public record HttpHeader(String name, String value) {

}
