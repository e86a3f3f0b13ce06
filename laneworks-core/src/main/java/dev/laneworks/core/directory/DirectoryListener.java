package dev.laneworks.core.directory;

/**
 * Hears of targets that come and go.
 *
 * @since 0.2
 */
public interface DirectoryListener {

	/**
	 * Hear of a target's entry that is new or differs from the one before.
	 * @param target the target
	 */
	void listed(ListedTarget target);

	/**
	 * Hear of a target that takes new work.
	 * @param target the target
	 */
	void joined(ListedTarget target);

	/**
	 * Hear of a target that takes no new work any more.
	 * @param target the target
	 * @param cause what was seen
	 */
	void leaving(ListedTarget target, LeavingCause cause);

	/**
	 * Hear that a target which was leaving is not listed any more, or that a run of it is
	 * over because another one is listed. Of two runs of a target the former is gone
	 * before the newer joins, both heard in one, and the directory knows the newer one
	 * meanwhile.
	 * @param target the target
	 */
	void gone(ListedTarget target);

}
