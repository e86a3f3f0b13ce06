package dev.laneworks.core.shares;

/**
 * Callback for changes of the engine memory that attempts reserve for a client account.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface ReservationListener {

	/** Ignores all changes. */
	ReservationListener NONE = (service, account, change) -> {
	};

	/**
	 * Handle a change of the reserved memory.
	 * @param service the name of the service
	 * @param account the name of the client account
	 * @param change the number of tokens; negative if memory is released
	 */
	void reservationChanged(String service, String account, long change);

}
