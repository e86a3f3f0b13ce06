package dev.laneworks.core.directory;

import java.util.Objects;

/**
 * An entry of the list of targets, as it was written there.
 *
 * @param target the target
 * @param revision the list's revision at which the entry was written; 0 where that is not
 * known: such an entry counts as written when it is heard
 * @since 0.3
 */
public record Listing(ListedTarget target, long revision) {

	/** The revision of an entry of which it is not known. */
	public static final long UNKNOWN_REVISION = 0;

	public Listing {
		Objects.requireNonNull(target, "target must not be null");
	}

}
