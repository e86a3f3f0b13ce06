package dev.laneworks.core.locality;

/**
 * Source of the time since the last updates from other data centres arrived.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface DataCentreUpdates {

	/**
	 * Return the time since the latest update from any entry of a data centre.
	 * @param dataCentre the name of the data centre
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time in milliseconds; 0 if no update from there ever arrived, so that
	 * targets in data centres without entries remain in use
	 */
	long silentMillis(String dataCentre, long now);

}
