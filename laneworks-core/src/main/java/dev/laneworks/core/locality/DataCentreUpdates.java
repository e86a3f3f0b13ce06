package dev.laneworks.core.locality;

/**
 * Source of the time since entries of other data centres were last heard.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface DataCentreUpdates {

	/**
	 * Return the time since the latest update from any entry of a data centre.
	 * @param dataCentre the name of the data centre
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the time in milliseconds; 0 if no entry there was ever heard, so that
	 * targets in data centres without entries remain in use
	 */
	long silentMillis(String dataCentre, long now);

}
