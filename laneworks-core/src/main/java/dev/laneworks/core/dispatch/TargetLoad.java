package dev.laneworks.core.dispatch;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * Load that a target reports with a response.
 *
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param slots the maximum number of concurrent requests
 * @param slowness the time that work currently takes relative to the usual time, if
 * reported; 1 is usual
 * @since 0.2
 */
public record TargetLoad(int running, int waiting, int slots, OptionalDouble slowness) {

	public TargetLoad {
		Objects.requireNonNull(slowness, "slowness must not be null");
	}

	/**
	 * Create a load report without the slowness.
	 * @param running the number of running requests
	 * @param waiting the number of queued requests
	 * @param slots the maximum number of concurrent requests
	 */
	public TargetLoad(int running, int waiting, int slots) {
		this(running, waiting, slots, OptionalDouble.empty());
	}

	/**
	 * Create a copy without the slowness.
	 * @return a copy that differs in the slowness only
	 */
	public TargetLoad withoutSlowness() {
		return new TargetLoad(this.running, this.waiting, this.slots);
	}

}
