package dev.laneworks.core.directory;

/**
 * Hears of data centres that are evacuated and taken back.
 *
 * @since 0.3
 */
public interface EvacuationListener {

	/**
	 * Hear that nothing more may be sent to the targets of a data centre.
	 * @param dataCentre the data centre
	 */
	void evacuated(String dataCentre);

	/**
	 * Hear that the targets of a data centre take work again.
	 * @param dataCentre the data centre
	 */
	void takenBack(String dataCentre);

}
