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

	/**
	 * Order a probe that identifies the process which served an attempt.
	 * @param call the call of the attempt
	 * @param attempt the attempt whose answer ended
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the ordered probe
	 */
	Probe identify(DirectCall call, Attempt attempt, long now) {
		Probe probe = new Probe(++this.lastNumber, now);
		this.outputs.identify(call.number(), attempt.number(), probe);
		return probe;
	}

}
