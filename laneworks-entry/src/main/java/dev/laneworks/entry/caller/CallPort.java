package dev.laneworks.entry.caller;

import java.util.Optional;

import dev.laneworks.core.call.CallRequest;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.stream.OnceTicket;
import dev.laneworks.core.stream.StreamPosition;

/**
 * What callers' HTTP interface asks of the deciding duty.
 * <p>
 * Thread-safe; no method waits.
 *
 * @since 0.1
 */
public interface CallPort {

	/**
	 * Return the configuration in force.
	 * @return the configuration, or empty before the first
	 */
	Optional<FleetConfiguration> configuration();

	/**
	 * Return a number for a call.
	 * @return a number never used before
	 */
	long nextCall();

	/**
	 * Open a call.
	 * @param call the call's number
	 * @param request the request
	 * @param answer the answer to its caller
	 * @return {@code false} if the entry can take no more
	 */
	boolean open(long call, CallRequest request, CallerAnswer answer);

	/**
	 * Open a call that goes on with a generation.
	 * @param call the call's number
	 * @param request the request as far as it is known
	 * @param position where to go on
	 * @param answer the answer to its caller
	 * @return {@code false} if the entry can take no more
	 */
	boolean resume(long call, CallRequest request, StreamPosition position, CallerAnswer answer);

	/**
	 * Say that the caller has taken output.
	 * @param call the call's number
	 * @param offset the first offset that it has not taken
	 */
	void read(long call, long offset);

	/**
	 * Say that the caller left.
	 * @param call the call's number
	 */
	void left(long call);

	/**
	 * Make a ticket for a request that must not be repeated.
	 * @param account the client account
	 * @param model the model or service
	 * @return the ticket, or empty if no home can be named now
	 */
	Optional<OnceTicket> ticket(String account, String model);

}
