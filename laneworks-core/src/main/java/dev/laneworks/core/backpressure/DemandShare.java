package dev.laneworks.core.backpressure;

/**
 * Tells this entry's part of what all entries may send to a target together.
 *
 * @since 0.4
 */
@FunctionalInterface
public interface DemandShare {

	/**
	 * Return this entry's part.
	 * @param service the service of the target
	 * @param now the time in milliseconds
	 * @return the part, above 0 and up to 1; the parts of all entries add up to about 1
	 */
	double of(String service, long now);

}
