package dev.laneworks.runtime.program;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import dev.laneworks.core.document.DocumentObject;

/**
 * Reads addresses from settings; hosts are IP numbers.
 *
 * @since 0.1
 */
public final class Addresses {

	private static final Pattern ADDRESS = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-f:]+]):(\\d{1,5})");

	private static final int MAX_PORT = 65_535;

	/** Stands in for an address that is wrong. */
	private static final InetSocketAddress NOWHERE = new InetSocketAddress("0.0.0.0", 0);

	private Addresses() {
	}

	/**
	 * Read an address that must be present.
	 * @param object the settings
	 * @param name the setting
	 * @return the address
	 */
	public static InetSocketAddress address(DocumentObject object, String name) {
		String text = object.text(name);
		return parse(text).orElseGet(() -> object.invalid(name,
				"must be an IP number and a port such as \"10.0.0.7:7400\" but is \"" + text + '"', NOWHERE));
	}

	/**
	 * Read the URI of an HTTP server that must be present.
	 * @param object the settings
	 * @param name the setting
	 * @return the URI
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
