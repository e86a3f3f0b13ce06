package dev.laneworks.core.waiting;

import java.util.function.Supplier;

import dev.laneworks.core.headroom.StartLimit;

/**
 * Limit that depends only on whether a generation has the most urgent priority of its
 * service.
 *
 * @since 0.4
 */
public final class FixedStartLimit implements StartLimit {

	private static final double MOST_URGENT = 0.97;

	/** Leaves memory for one displaced engine in six and for urgent generations. */
	private static final double LESS_URGENT = 0.75;

	private final Supplier<GovernedServices> services;

	/**
	 * Create a limit.
	 * @param services the governed services of the current plan
	 */
	public FixedStartLimit(Supplier<GovernedServices> services) {
		this.services = services;
	}

	@Override
	public double maxUtilization(String service, int priority, long now) {
		return (priority <= this.services.get().mostUrgentPriority(service).orElse(0)) ? MOST_URGENT : LESS_URGENT;
	}

}
