package dev.laneworks.core.speed;

/**
 * Expected time of a request at a plain target, relative to a request alone at a target
 * of usual speed.
 *
 * @since 0.4
 */
public final class PlainTime {

	/**
	 * Part of the time that grows with the requests below the number of slots, since they
	 * share the machine. Also separates targets without a queue.
	 */
	private static final double SHARED_PART = 0.5;

	private PlainTime() {
	}

	/**
	 * Return the expected time of one more request. A queue counts by its square, since
	 * other entries send requests that are not known here yet.
	 * @param requests the estimated number of requests at the target
	 * @param slots the number of requests that it executes at once
	 * @param factor the time that a request takes there relative to the usual time
	 * @return the relative time
	 */
	public static double of(double requests, int slots, double factor) {
		double load = (requests + 1) / Math.max(1, slots);
		return factor * (SHARED_PART * load + (1 - SHARED_PART) * Math.max(1, load * load));
	}

	/**
	 * Return the expected delay of one more request compared with an idle target of usual
	 * speed.
	 * @param requests the estimated number of requests at the target
	 * @param slots the number of requests that it executes at once
	 * @param factor the time that a request takes there relative to the usual time
	 * @param usualMillis the usual response time, in milliseconds
	 * @return the delay in milliseconds
	 */
	public static double waitMillis(double requests, int slots, double factor, double usualMillis) {
		return usualMillis * Math.max(0, factor * Math.max(1, (requests + 1) / Math.max(1, slots)) - 1);
	}

}
