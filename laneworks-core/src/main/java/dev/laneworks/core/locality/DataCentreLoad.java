package dev.laneworks.core.locality;

import java.util.List;

/**
 * Expected wait and free capacity of the candidate targets in one data centre.
 *
 * @param waitMillis the mean expected wait at the better targets, in milliseconds
 * @param freeCapacity the sum of the free capacity
 */
record DataCentreLoad(double waitMillis, double freeCapacity) {

	/**
	 * Part of the targets whose wait counts. A request is sent to one of the better
	 * targets; a single one would be filled by the next few requests.
	 */
	private static final int PART = 3;

	static DataCentreLoad of(List<TargetWait> targets) {
		double wait = targets.stream()
			.mapToDouble(TargetWait::waitMillis)
			.sorted()
			.limit((targets.size() + PART - 1) / PART)
			.average()
			.orElse(0);
		return new DataCentreLoad(wait, targets.stream().mapToDouble(TargetWait::freeCapacity).sum());
	}

	// The weight in the distribution of requests over data centres. Free capacity with a
	// long wait in front of it counts less.
	double weight(double goalMillis) {
		return this.freeCapacity / (1 + this.waitMillis / goalMillis);
	}

}
