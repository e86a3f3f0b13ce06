package dev.laneworks.runtime.http;

import java.net.URI;
import java.util.List;
import java.util.Objects;

/**
 * Request to an HTTP server.
 *
 * @param server the URI of the server, such as {@code http://10.0.0.7:8000}
 * @param method the HTTP method
 * @param path the path and query
 * @param headers additional headers
 * @param body the body, which may be empty; not copied, must not be modified
 * @since 0.1
 */
public record HttpRequest(URI server, String method, String path, List<HttpHeader> headers, byte[] body) {

	private static final byte[] NO_BODY = new byte[0];

	public HttpRequest {
		Objects.requireNonNull(server, "server must not be null");
		Objects.requireNonNull(method, "method must not be null");
		Objects.requireNonNull(path, "path must not be null");
		headers = List.copyOf(headers);
	}

	/**
	 * Create a request without additional headers and body.
	 * @param server the URI of the server
	 * @param method the HTTP method
	 * @param path the path and query
	 * @return the request
	 */
	public static HttpRequest of(URI server, String method, String path) {
		return new HttpRequest(server, method, path, List.of(), NO_BODY);
	}

}
