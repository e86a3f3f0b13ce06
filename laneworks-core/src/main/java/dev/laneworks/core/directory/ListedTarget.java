package dev.laneworks.core.directory;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A target as it lists itself.
 *
 * @param id the name of one run of the target; another run has another
 * @param service the service it belongs to
 * @param host the address, an IP number
 * @param port the port
 * @param dataCentre the data centre it is in
 * @param slots the requests that it runs at once
 * @param leaving whether it has said that it takes no new work
 * @param coldMillis for how much longer it says that it is cold, in milliseconds; empty
 * where it does not tell, and negative where what it tells can't be read
 * @since 0.2
 */
public record ListedTarget(String id, String service, String host, int port, String dataCentre, int slots,
		boolean leaving, OptionalLong coldMillis) {

	public ListedTarget {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(coldMillis, "coldMillis must not be null");
	}

	/**
	 * Create a target that does not tell whether it is cold.
	 * @param id the name of one run of the target
	 * @param service the service it belongs to
	 * @param host the address, an IP number
	 * @param port the port
	 * @param dataCentre the data centre it is in
	 * @param slots the requests that it runs at once
	 * @param leaving whether it has said that it takes no new work
	 */
	public ListedTarget(String id, String service, String host, int port, String dataCentre, int slots,
			boolean leaving) {
		this(id, service, host, port, dataCentre, slots, leaving, OptionalLong.empty());
	}

	/**
	 * Return the address in the form {@code IP:PORT}.
	 * @return the address
	 */
	public String address() {
		return this.host + ':' + this.port;
	}

}
