package dev.laneworks.core.directory;

import java.util.Objects;

/**
 * A target's entry in the list of targets.
 *
 * @param target the target as the entry describes it
 * @param revision the list's revision at which the entry was written, or
 * {@link #UNKNOWN_REVISION}; an entry of unknown revision counts as written on arrival
 * @since 0.3
 */
public record TargetListing(ListedTarget target, long revision) {

	/** The revision of an entry for which none is known. */
	public static final long UNKNOWN_REVISION = 0;

	public TargetListing {
		Objects.requireNonNull(target, "target must not be null");
	}

}
