package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.locality.Locality;
import dev.laneworks.core.locality.LocalityDecision;
import dev.laneworks.core.locality.TargetWait;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.speed.EngineTime;
import dev.laneworks.core.speed.PlainTime;
import dev.laneworks.core.speed.ServiceSpeed;

/**
 * Narrows the candidates of a request to the data centre that serves it, and remembers
 * the reason until the request is sent.
 */
final class NearTargets {

	private static final LocalityDecision NOT_DECIDED = new LocalityDecision("", true, "");

	private final Locality locality;

	private final TargetEstimates estimates;

	private final String dataCentre;

	private final boolean enabled;

	private LocalityDecision latest = NOT_DECIDED;

	private long sentElsewhere;

	NearTargets(Locality locality, TargetEstimates estimates, String dataCentre, Mechanisms mechanisms) {
		this.locality = locality;
		this.estimates = estimates;
		this.dataCentre = dataCentre;
		this.enabled = mechanisms.isEnabled(Mechanism.NEAR_TARGETS)
				&& mechanisms.isEnabled(Mechanism.WAIT_BASED_LOCALITY);
	}

	/**
	 * Return the candidates for a request in the chosen data centre.
	 * @param candidates the candidates of all data centres
	 * @param speeds the speeds of the candidates
	 * @param goalMillis the response-time goal, in milliseconds; 0 if there is none
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the candidates, empty only if there are none at all
	 */
	List<ListedTarget> forRequest(List<ListedTarget> candidates, ServiceSpeed speeds, long goalMillis, long now) {
		return narrow(candidates, speeds, goalMillis, (t) -> plainWait(t, speeds, now), now);
	}

	/**
	 * Return the candidates for a generation in the chosen data centre.
	 * @param candidates the candidates of all data centres
	 * @param speeds the speeds of the candidates
	 * @param goalMillis the goal for the first event, in milliseconds; 0 if there is none
	 * @param engine the capabilities of the service's engines
	 * @param size the size of the generation
	 * @param utilization returns the memory utilization of an engine with the generation
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the candidates, empty only if there are none at all
	 */
	List<ListedTarget> forGeneration(List<ListedTarget> candidates, ServiceSpeed speeds, long goalMillis,
			EngineSpec engine, GenerationSize size, ToDoubleFunction<ListedTarget> utilization, long now) {
		return narrow(candidates, speeds, goalMillis, (t) -> {
			double ofSlots = (this.estimates.requests(t, now) + 1) / engine.slots();
			return engineWait(t, size.promptTokens(), speeds, Math.max(ofSlots, utilization.applyAsDouble(t)));
		}, now);
	}

	private List<ListedTarget> narrow(List<ListedTarget> candidates, ServiceSpeed speeds, long goalMillis,
			Function<ListedTarget, TargetWait> wait, long now) {
		this.latest = NOT_DECIDED;
		if (!this.enabled || !speeds.isActive() || goalMillis <= 0 || candidates.isEmpty()) {
			return candidates;
		}
		this.latest = this.locality.choose(candidates.get(0).service(), goalMillis,
				candidates.stream().map(wait).toList(), now);
		return candidates.stream().filter((t) -> t.dataCentre().equals(this.latest.dataCentre())).toList();
	}

	private TargetWait plainWait(ListedTarget target, ServiceSpeed speeds, long now) {
		double factor = speeds.plainFactor(this.estimates.of(target).speed());
		double requests = this.estimates.requests(target, now);
		return new TargetWait(target.dataCentre(),
				PlainTime.waitMillis(requests, target.slots(), factor, speeds.responseMillis()),
				Math.max(0, target.slots() - requests) / factor);
	}

	private TargetWait engineWait(ListedTarget target, long promptTokens, ServiceSpeed speeds, double utilization) {
		double factor = speeds.engineFactor(this.estimates.of(target).speed());
		double wait = EngineTime.waitMillis(this.estimates.pendingPromptTokens(target), promptTokens, factor,
				speeds.millisPerPromptToken(), utilization);
		return new TargetWait(target.dataCentre(), wait, Math.max(0, 1 - utilization) / factor);
	}

	// Describes why the request that was routed last leaves this data centre.
	String describe(ListedTarget target) {
		return (this.latest.local() || !target.dataCentre().equals(this.latest.dataCentre())) ? ""
				: ", sent to " + target.dataCentre() + ": " + this.latest.reason();
	}

	// Counts a new request that is sent to a target.
	void recordSent(ListedTarget target) {
		this.sentElsewhere += target.dataCentre().equals(this.dataCentre) ? 0 : 1;
	}

	long sentElsewhere() {
		return this.sentElsewhere;
	}

}
