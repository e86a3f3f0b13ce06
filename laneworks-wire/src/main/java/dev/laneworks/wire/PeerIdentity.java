package dev.laneworks.wire;

import java.util.Objects;

/**
 * Identity that a process announces in the first frame of a link.
 *
 * @param name the name of the entry, or of the sidecar's target
 * @param dataCentre the data centre that the process runs in
 * @param incarnation a number that differs for each start of the process
 * @since 0.1
 */
public record PeerIdentity(String name, String dataCentre, long incarnation) {

	public PeerIdentity {
		Objects.requireNonNull(name, "name must not be null");
		Objects.requireNonNull(dataCentre, "dataCentre must not be null");
	}

}
