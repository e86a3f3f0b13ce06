package dev.laneworks.core.backpressure;

import java.util.Objects;
import java.util.OptionalLong;
import java.util.function.IntSupplier;

/**
 * Shares by the requests for a service that each entry had of late, as entries tell each
 * other.
 * <p>
 * Callers are spread unevenly over entries. With equal parts an entry would refuse its
 * callers while the part of another is left unused.
 *
 * @since 0.4
 */
public final class RequestShare implements DemandShare {

	/**
	 * The requests that each entry is taken to have had beside those that it did, so that
	 * entries which all begin to have some within a heartbeat don't each take the whole.
	 */
	private static final double EACH = 1;

	private final IntSupplier entries;

	private final Requests own;

	private final Requests others;

	/**
	 * Create shares.
	 * @param entries gives how many entries there are, this one included
	 * @param own gives this entry's requests
	 * @param others gives those of the other entries; empty while none of them is known
	 */
	public RequestShare(IntSupplier entries, Requests own, Requests others) {
		this.entries = Objects.requireNonNull(entries, "entries must not be null");
		this.own = Objects.requireNonNull(own, "own must not be null");
		this.others = Objects.requireNonNull(others, "others must not be null");
	}

	@Override
	public double of(String service, long now) {
		int count = Math.max(1, this.entries.getAsInt());
		OptionalLong told = this.others.of(service, now);
		if (told.isEmpty()) {
			return 1.0 / count;
		}
		long ours = this.own.of(service, now).orElse(0);
		return (ours + EACH) / (ours + told.getAsLong() + count * EACH);
	}

	/**
	 * Tells how many requests for a service there were of late.
	 */
	@FunctionalInterface
	public interface Requests {

		/**
		 * Return the requests within a time that is the same for all entries.
		 * @param service the service
		 * @param now the time in milliseconds
		 * @return the count, or empty if it isn't known
		 */
		OptionalLong of(String service, long now);

	}

}
