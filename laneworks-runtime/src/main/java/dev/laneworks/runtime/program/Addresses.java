package dev.laneworks.runtime.program;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import dev.laneworks.core.document.DocumentObject;

/**
 * Reads network addresses from settings. Hosts must be literal IP addresses.
 *
 * @since 0.1
 */
public final class Addresses {

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-f:]+]):(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	private static final InetSocketAddress PLACEHOLDER = new InetSocketAddress("0.0.0.0", 0);

	private Addresses() {
	}

	/**
	 * Read a required address.
	 * @param object the settings, which record a fault if the address is missing or
	 * invalid
	 * @param name the name of the setting
	 * @return the address; a placeholder after a fault
	 */
	public static InetSocketAddress address(DocumentObject object, String name) {
		String text = object.text(name);
		return parse(text).orElseGet(() -> object.invalid(name,
				"must be an IP number and a port such as \"10.0.0.7:7400\" but is \"" + text + '"', PLACEHOLDER));
	}

	/**
	 * Read the required URI of an HTTP server.
	 * @param object the settings, which record a fault if the URI is missing or invalid
	 * @param name the name of the setting
	 * @return the URI; a placeholder after a fault
	 */
	public static URI server(DocumentObject object, String name) {
		String text = object.text(name);
		if (!text.startsWith("http://") || parse(text.substring("http://".length())).isEmpty()) {
			return object.invalid(name,
					"must be \"http://\" with an IP number and a port such as \"http://10.0.0.7:8000\" but is \"" + text
							+ '"',
					URI.create("http://0.0.0.0:0"));
		}
		return URI.create(text);
	}

	private static Optional<InetSocketAddress> parse(String text) {
		Matcher matcher = ADDRESS.matcher(text);
		if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
			return Optional.empty();
		}
		return Optional.of(new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2))));
	}

}
