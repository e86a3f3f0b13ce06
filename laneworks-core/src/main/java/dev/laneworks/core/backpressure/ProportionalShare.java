package dev.laneworks.core.backpressure;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

/**
 * Divides a rate limit in proportion to the recent requests of each entry, as exchanged
 * by gossip.
 * <p>
 * Clients are spread unevenly over entries. With equal shares, one entry would reject
 * requests while the share of another is unused.
 *
 * @since 0.4
 */
public final class ProportionalShare implements RateLimitShare {

	/**
	 * The requests added to the count of each entry, so that entries that all receive
	 * their first requests within one heartbeat do not each claim the full limit.
	 */
	private static final double EXTRA_REQUESTS = 1;

	private final IntSupplier entries;

	private final Requests own;

	private final Requests others;

	/**
	 * Create a share.
	 * @param entries supplies the number of entries, including this one
	 * @param own supplies the recent requests of this entry
	 * @param others supplies the recent requests of the other entries; empty while none
	 * of them is known
	 */
	public ProportionalShare(IntSupplier entries, Requests own, Requests others) {
		this.entries = Objects.requireNonNull(entries, "entries must not be null");
		this.own = Objects.requireNonNull(own, "own must not be null");
		this.others = Objects.requireNonNull(others, "others must not be null");
	}

	@Override
	public double of(String service, long now) {
		int count = Math.max(1, this.entries.getAsInt());
		OptionalLong otherRequests = this.others.of(service, now);
		if (otherRequests.isEmpty()) {
			return 1.0 / count;
		}
		long ownRequests = this.own.of(service, now).orElse(0);
		return (ownRequests + EXTRA_REQUESTS) / (ownRequests + otherRequests.getAsLong() + count * EXTRA_REQUESTS);
	}

	/**
	 * Supplies the number of recent requests for a service.
	 */
	@FunctionalInterface
	public interface Requests {

		/**
		 * Return the number of requests within a window that is the same for all entries.
		 * @param service the name of the service
		 * @param now the current time in milliseconds
		 * @return the count, or empty if it is unknown
		 */
		OptionalLong of(String service, long now);

	}

}
