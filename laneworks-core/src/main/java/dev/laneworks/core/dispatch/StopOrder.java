package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Order to stop the generation of an attempt and to copy it, from the moment it is sent.
 * <p>
 * The generation may be stopped from then on, whatever the engine answers, and also after
 * its move was given up. The end of its stream does not show whether it is whole; a
 * resumption does.
 *
 * @param destination the engine that receives the copy
 * @param handle the handle of the copy
 * @param sentAt the time at which the order was last sent, in milliseconds of the
 * monotonic clock
 * @param isFirst whether no such order was sent before
 * @param resultAt the time of the latest result, or of the order until it has one
 * @param isUnknownRun whether the engine answered the first order that it does not
 * execute the generation, so that no order has stopped it
 */
record StopOrder(ListedTarget destination, String handle, long sentAt, boolean isFirst, long resultAt,
		boolean isUnknownRun) {

	/** The time for which an event may be on its way. */
	private static final long MAX_EVENT_TRANSIT_MILLIS = 1_000;

	StopOrder {
		Objects.requireNonNull(destination, "destination must not be null");
		Objects.requireNonNull(handle, "handle must not be null");
	}

	/**
	 * Create the first stop order of a generation.
	 * @param destination the engine that receives the copy
	 * @param handle the handle of its partial copy, or empty text
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the order
	 */
	static StopOrder first(ListedTarget destination, String handle, long now) {
		return new StopOrder(destination, handle, now, true, now, false);
	}

	// Sends the order again, or one to another destination.
	StopOrder repeat(ListedTarget newDestination, String newHandle, long now) {
		boolean isSameCopy = newHandle.isEmpty() && newDestination.isSameIncarnation(this.destination);
		return new StopOrder(newDestination, isSameCopy ? this.handle : newHandle, now, false, now, false);
	}

	/**
	 * Apply the result of the order.
	 * @param result the result, which may be that the engine did not answer
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return what is known of the order, or empty if no order was ever sent
	 */
	Optional<StopOrder> withResult(CopyResult result, long now) {
		if (this.isFirst && result.outcome() == CopyResult.Outcome.NOT_SENT) {
			return Optional.empty();
		}
		String latestHandle = result.handle().isEmpty() ? this.handle : result.handle();
		return Optional.of(new StopOrder(this.destination, latestHandle, this.sentAt, this.isFirst, now,
				this.isFirst && result.outcome() == CopyResult.Outcome.NO_SUCH_RUN));
	}

	/**
	 * Determine whether the generation went on after the latest order had its result.
	 * Events that arrive soon after it may have been made before.
	 * @param lastEventAt the time of the last event in milliseconds of the monotonic
	 * clock
	 * @return {@code true} if only an order that is carried out later can have stopped it
	 */
	boolean isOutlived(long lastEventAt) {
		return lastEventAt - this.resultAt > MAX_EVENT_TRANSIT_MILLIS;
	}

}
