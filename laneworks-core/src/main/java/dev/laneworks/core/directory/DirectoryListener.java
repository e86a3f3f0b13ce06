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
	 * Handle a target whose list entry was removed shortly after an outage of the list.
	 * It accepts requests until its entry is written again or the time has passed.
	 * @param target the target
	 * @param until the end of that time in milliseconds
	 * @since 0.8
	 */
	default void expired(ListedTarget target, long until) {
	}

	/**
	 * Handle an expired target whose list entry was written again.
	 * @param target the target
	 * @since 0.8
	 */
	default void renewed(ListedTarget target) {
	}

	/**
	 * Handle a draining target whose list entry was removed, or an incarnation that was
	 * replaced by a newer one. When both are reported in one batch, the former
	 * incarnation is gone before the newer one joins, but the directory already holds the
	 * newer one.
	 * @param target the target
	 */
	void gone(ListedTarget target);

}
