package dev.laneworks.wire;

import java.util.Objects;

/**
 * Who a process says it is when a link comes up.
 *
 * @param name the name of the entry, or of the sidecar's target
 * @param dataCentre its data centre
 * @param incarnation different for each process
 * @since 0.1
 */
public record PeerIdentity(String name, String dataCentre, long incarnation) {

	public PeerIdentity {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
	}

}
