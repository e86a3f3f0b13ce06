package dev.laneworks.entry.caller;

import java.util.Optional;

import dev.laneworks.core.call.CallRequest;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.stream.RequestTicket;
import dev.laneworks.core.stream.StreamPosition;

/**
 * Interface of the callers' HTTP server to the duty that routes calls.
 * <p>
 * Thread-safe; no method blocks.
 *
 * @since 0.1
 */
public interface CallPort {

	/**
	 * Return the current configuration.
	 * @return the configuration, or empty until the first one is loaded
	 */
	Optional<FleetConfiguration> configuration();

	/**
	 * Allocate a call number.
	 * @return a number that is unique within this process
	 */
	long nextCallNumber();

	/**
	 * Open a call.
	 * @param call a number from {@link #nextCallNumber()}
	 * @param request the caller's request
	 * @param response receives the output
	 * @return {@code false} if the entry has reached its limit of open calls
	 */
	boolean open(long call, CallRequest request, CallerResponse response);

	/**
	 * Open a call that resumes reading a generation.
	 * @param call a number from {@link #nextCallNumber()}
	 * @param request the request, of which only the client account is set
	 * @param position the position of the first output to send
	 * @param response receives the output
	 * @return {@code false} if the entry has reached its limit of open calls
	 */
	boolean resume(long call, CallRequest request, StreamPosition position, CallerResponse response);

	/**
	 * Record that the caller has consumed output.
	 * @param call the call number
	 * @param offset the first offset that is not yet consumed
	 */
	void recordConsumed(long call, long offset);

	/**
	 * Record that the caller disconnected.
	 * @param call the call number
	 */
	void recordDisconnect(long call);

	/**
	 * Create a ticket for a request that must run at most once.
	 * @param account the client account
	 * @param model the model or service
	 * @return the ticket, or empty if no target is available as its home
	 */
	Optional<RequestTicket> createTicket(String account, String model);

}
