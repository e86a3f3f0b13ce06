package dev.laneworks.core.directory;

/**
 * Receives changes of the known targets from a {@link TargetDirectory}.
 *
 * @since 0.2
 */
public interface DirectoryListener {

	/**
	 * Handle a target's list entry that is new or has changed.
	 * @param target the target
	 */
	void listed(ListedTarget target);

	/**
	 * Handle a target that accepts new requests from now on.
	 * @param target the target
	 */
	void joined(ListedTarget target);

	/**
	 * Handle a target that accepts no new requests from now on.
	 * @param target the target
	 * @param cause what the directory concluded it from
	 */
	void draining(ListedTarget target, DrainingCause cause);

	/**
	 * Handle a draining target whose list entry was removed, or an incarnation that was
	 * replaced by a newer one. When both are reported in one batch, the former
	 * incarnation is gone before the newer one joins, but the directory already holds the
	 * newer one.
	 * @param target the target
	 */
	void gone(ListedTarget target);

}
