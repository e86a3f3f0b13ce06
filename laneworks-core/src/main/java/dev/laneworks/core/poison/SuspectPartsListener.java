package dev.laneworks.core.poison;

/**
 * Listener for changes of the suspect prompt parts.
 *
 * @since 0.8
 */
public interface SuspectPartsListener {

	/**
	 * Handle an observation of this process that other processes do not know yet.
	 * @param observation the observation, with the age at this time
	 * @param now the current time in milliseconds
	 */
	void observed(PartObservation observation, long now);

	/**
	 * Handle a quarantine that begins, or whose parts have become fewer.
	 * @param group the parts; requests that have all of them must not be sent to targets
	 * @param now the current time in milliseconds
	 */
	void quarantined(SuspectPartGroup group, long now);

	/**
	 * Handle the end of a quarantine.
	 * @param group the parts that are no longer held responsible
	 * @param now the current time in milliseconds
	 */
	void cleared(SuspectPartGroup group, long now);

}
