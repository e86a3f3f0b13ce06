package dev.laneworks.core.directory;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * A target as described by its entry in the list of targets.
 *
 * @param id the target's name, which it may keep when it restarts
 * @param service the service to which it belongs
 * @param host its IP address
 * @param port its port
 * @param dataCentre the data centre in which it runs
 * @param slots the number of requests that it executes at once
 * @param draining whether it reports that it accepts no new requests
 * @param coldMillis the remaining time that it reports to be cold, in milliseconds; empty
 * if it reports none, and negative if the value is invalid
 * @param startMillis when it started, in milliseconds of its own clock; empty if it does
 * not report that
 * @since 0.2
 */
public record ListedTarget(String id, String service, String host, int port, String dataCentre, int slots,
		boolean draining, OptionalLong coldMillis, OptionalLong startMillis) {

	public ListedTarget {
		Objects.requireNonNull(id, "id must not be null");
		Objects.requireNonNull(service, "service must not be null");
		Objects.requireNonNull(host, "host must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
		Objects.requireNonNull(coldMillis, "coldMillis must not be null");
		Objects.requireNonNull(startMillis, "startMillis must not be null");
	}

	/**
	 * Create a target that does not report its start time.
	 * @param id the target's name
	 * @param service the service to which it belongs
	 * @param host its IP address
	 * @param port its port
	 * @param dataCentre the data centre in which it runs
	 * @param slots the number of requests that it executes at once
	 * @param draining whether it reports that it accepts no new requests
	 * @param coldMillis the remaining time that it reports to be cold, in milliseconds
	 */
	public ListedTarget(String id, String service, String host, int port, String dataCentre, int slots,
			boolean draining, OptionalLong coldMillis) {
		this(id, service, host, port, dataCentre, slots, draining, coldMillis, OptionalLong.empty());
	}

	/**
	 * Create a target that reports neither a cold time nor its start time.
	 * @param id the target's name
	 * @param service the service to which it belongs
	 * @param host its IP address
	 * @param port its port
	 * @param dataCentre the data centre in which it runs
	 * @param slots the number of requests that it executes at once
	 * @param draining whether it reports that it accepts no new requests
	 */
	public ListedTarget(String id, String service, String host, int port, String dataCentre, int slots,
			boolean draining) {
		this(id, service, host, port, dataCentre, slots, draining, OptionalLong.empty());
	}

	/**
	 * Create a copy with another start time.
	 * @param millis the start time in milliseconds of the target's own clock; empty if it
	 * is not known
	 * @return the copy
	 */
	public ListedTarget withStartMillis(OptionalLong millis) {
		return new ListedTarget(this.id, this.service, this.host, this.port, this.dataCentre, this.slots, this.draining,
				this.coldMillis, millis);
	}

	/**
	 * Return the incarnation that this entry describes.
	 * @return the incarnation
	 */
	public TargetIncarnation incarnation() {
		return new TargetIncarnation(this.id, this.startMillis);
	}

	/**
	 * Determine whether another entry describes the same incarnation of the same target.
	 * @param other the other entry
	 * @return {@code true} if the id and the start time are equal
	 */
	public boolean isSameIncarnation(ListedTarget other) {
		return incarnation().equals(other.incarnation());
	}

	/**
	 * Return the address in the form {@code IP:PORT}.
	 * @return the address
	 */
	public String address() {
		return this.host + ':' + this.port;
	}

}
