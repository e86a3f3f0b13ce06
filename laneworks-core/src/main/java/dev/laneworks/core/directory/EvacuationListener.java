package dev.laneworks.core.directory;

/**
 * Receives the start and the end of evacuations of data centres from {@link Evacuations}.
 *
 * @since 0.3
 */
public interface EvacuationListener {

	/**
	 * Handle the start of an evacuation: the targets of the data centre must not be sent
	 * new requests.
	 * @param dataCentre the data centre's name
	 */
	void evacuated(String dataCentre);

	/**
	 * Handle the end of an evacuation: the targets of the data centre accept requests
	 * again.
	 * @param dataCentre the data centre's name
	 */
	void evacuationEnded(String dataCentre);

}
