package dev.laneworks.runtime.http;

import java.util.List;
import java.util.Optional;

/**
 * Status and headers of a response.
 *
 * @param status the status code
 * @param headers the headers in the order received
 * @since 0.2
 */
public record HttpResponseHead(int status, List<HttpHeader> headers) {

	public HttpResponseHead {
		headers = List.copyOf(headers);
	}

	/**
	 * Return the first value of a header.
	 * @param name the header's name, in any case
	 * @return the value; empty if the header is absent
	 */
	public Optional<String> first(String name) {
		return this.headers.stream().filter((h) -> h.name().equalsIgnoreCase(name)).map(HttpHeader::value).findFirst();
	}

	/**
	 * Return all values of a header.
	 * @param name the header's name, in any case
	 * @return the values in the order received; empty if the header is absent
	 */
	public List<String> all(String name) {
		return this.headers.stream().filter((h) -> h.name().equalsIgnoreCase(name)).map(HttpHeader::value).toList();
	}

	/**
	 * Return the media type of the body.
	 * @return the value of the {@code Content-Type} header; an empty string if it is
	 * absent
	 */
	public String contentType() {
		return first("Content-Type").orElse("");
	}

}
