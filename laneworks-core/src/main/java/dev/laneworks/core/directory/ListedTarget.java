package dev.laneworks.core.directory;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A target as it lists itself.
 *
 * @param id the target's name, which it may have again when it starts again
 * @param service the service it belongs to
 * @param host the address, an IP number
 * @param port the port
 * @param dataCentre the data centre it is in
 * @param slots the requests that it runs at once
 * @param leaving whether it has said that it takes no new work
 * @param coldMillis for how much longer it says that it is cold, in milliseconds; empty
 * where it does not tell, and negative where what it tells can't be read
 * @param startMillis when it says that it started, in milliseconds of its own time of
 * day; empty where it does not tell
 * @since 0.2
 */
public record ListedTarget(String id, String service, String host, int port, String dataCentre, int slots,
		boolean leaving, OptionalLong coldMillis, OptionalLong startMillis) {

	public ListedTarget {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(coldMillis, "coldMillis must not be null");
		Objects.requireNonNull(startMillis, "startMillis must not be null");
	}

	/**
	 * Create a target that does not tell when it started.
	 * @param id the target's name
	 * @param service the service it belongs to
	 * @param host the address, an IP number
	 * @param port the port
	 * @param dataCentre the data centre it is in
	 * @param slots the requests that it runs at once
	 * @param leaving whether it has said that it takes no new work
	 * @param coldMillis for how much longer it says that it is cold, in milliseconds
	 */
	public ListedTarget(String id, String service, String host, int port, String dataCentre, int slots, boolean leaving,
			OptionalLong coldMillis) {
		this(id, service, host, port, dataCentre, slots, leaving, coldMillis, OptionalLong.empty());
	}

	/**
	 * Create a target that tells neither whether it is cold nor when it started.
	 * @param id the target's name
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
	 * Return this target as one that started at another time.
	 * @param millis when it started, in milliseconds of its own time of day; empty where
	 * that is not known
	 * @return the target, alike in all else
	 */
	public ListedTarget startedAt(OptionalLong millis) {
		return new ListedTarget(this.id, this.service, this.host, this.port, this.dataCentre, this.slots, this.leaving,
				this.coldMillis, millis);
	}

	/**
	 * Return the run of the target that lists itself.
	 * @return the run
	 */
	public TargetRun run() {
		return new TargetRun(this.id, this.startMillis);
	}

	/**
	 * Return whether two entries are of the same run of the same target.
	 * @param other the other entry
	 * @return whether the runs are the same
	 */
	public boolean isSameRun(ListedTarget other) {
		return run().equals(other.run());
	}

	/**
	 * Return the address in the form {@code IP:PORT}.
	 * @return the address
	 */
	public String address() {
		return this.host + ':' + this.port;
	}

}
