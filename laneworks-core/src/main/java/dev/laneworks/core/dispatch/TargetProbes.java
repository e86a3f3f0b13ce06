package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Orders probes of targets and numbers them.
 */
final class TargetProbes {

	private final DispatchOutputs outputs;

	private long lastNumber;

	TargetProbes(DispatchOutputs outputs) {
		this.outputs = outputs;
	}

	long lastNumber() {
		return this.lastNumber;
	}

	/**
	 * Order a probe.
	 * @param target the target to connect to
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the ordered probe
	 */
	Probe start(ListedTarget target, long now) {
		Probe probe = new Probe(++this.lastNumber, now);
		this.outputs.probe(target, probe);
		return probe;
	}

}
