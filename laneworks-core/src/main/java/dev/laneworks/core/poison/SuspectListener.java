package dev.laneworks.core.poison;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Listener for changes of suspect requests.
 *
 * @since 0.4
 */
public interface SuspectListener {

	/**
	 * Handle a crash of a target while it executed a request.
	 * @param digest the digest of the request
	 * @param incarnation the incarnation of the target, reported for the first time with
	 * this request
	 * @param ends the number of crashes since the request last completed
	 * @param now the current time in milliseconds
	 */
	void crashed(RequestDigest digest, TargetIncarnation incarnation, int ends, long now);

	/**
	 * Handle the quarantine of a request, which must not be sent to targets from now on.
	 * @param digest the digest of the request
	 * @param now the current time in milliseconds
	 */
	void quarantined(RequestDigest digest, long now);

	/**
	 * Handle the completion of a request that was suspect.
	 * @param digest the digest of the request
	 * @param now the current time in milliseconds
	 */
	void cleared(RequestDigest digest, long now);

}
