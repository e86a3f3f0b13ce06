package dev.laneworks.runtime.http;

import java.util.List;
import java.util.Optional;

/**
 * The head of a response.
 *
 * @param status the status code
 * @param headers the headers in the order they came
 * @since 0.2
 */
public record HttpResponseHead(int status, List<HttpHeader> headers) {

	public HttpResponseHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Return a header's first value.
	 * @param name the header's name, in any case
	 * @return the value, or empty if the header is not there
	 */
	public Optional<String> first(String name) {
		return this.headers.stream().filter((h) -> h.name().equalsIgnoreCase(name)).map(HttpHeader::value).findFirst();
	}

	/**
	 * Return all values of a header.
	 * @param name the header's name, in any case
	 * @return the values in the order they came; none if the header is not there
	 */
	public List<String> all(String name) {
		return this.headers.stream().filter((h) -> h.name().equalsIgnoreCase(name)).map(HttpHeader::value).toList();
	}

	/**
	 * Return the type of the body.
	 * @return the type, or empty text
	 */
	public String contentType() {
		return first("Content-Type").orElse("");
	}

}
