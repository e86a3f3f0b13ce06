package dev.laneworks.runtime.http;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Status and headers of a response.
 *
 * @param status the status code
 * @param headers the headers in the order received
 * @since 0.2
 */
public record HttpResponseHead(int status, List<HttpHeader> headers) {

	/** Statuses whose responses have no body. */
	private static final Set<Integer> HAS_NO_BODY = Set.of(204, 304);

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
	 * Determine whether the body ends with its connection, since it has neither a length
	 * nor chunks, the only transfer coding that is accepted (RFC 9112, section 6.3). Its
	 * framing does not show an early end.
	 * @return {@code true} if a truncated body looks like a complete one
	 * @since 0.8
	 */
	public boolean isCloseDelimited() {
		boolean isFramed = first("Transfer-Encoding").isPresent() || first("Content-Length").isPresent();
		return !isFramed && !HAS_NO_BODY.contains(this.status);
	}

	/**
	 * Return the length of the body.
	 * @return the value of the {@code Content-Length} header in bytes, or empty if it is
	 * absent or malformed
	 * @since 0.7
	 */
	public OptionalLong contentLength() {
		return first("Content-Length").map(ContentLength::parse).orElse(OptionalLong.empty());
	}

}
