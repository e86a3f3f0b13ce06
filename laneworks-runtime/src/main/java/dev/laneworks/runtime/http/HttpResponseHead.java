package dev.laneworks.runtime.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

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

	/**
	 * Return the length of the body.
	 * @return the value of the {@code Content-Length} header in bytes, or empty if it is
	 * absent or malformed
	 * @since 0.7
	 */
	public OptionalLong contentLength() {
		return first("Content-Length").filter((v) -> v.matches("\\d{1,18}"))
			.map((v) -> OptionalLong.of(Long.parseLong(v)))
			.orElse(OptionalLong.empty());
	}

}
