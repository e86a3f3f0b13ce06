package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.function.Supplier;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.headroom.EngineFleet;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;

/**
 * Engines according to the plan, the directory and the recorded state of the targets.
 */
final class ServiceEngines implements EngineFleet {

	private final Supplier<Optional<ServingPlan>> plan;

	private final Eligibility eligibility;

	private final TargetChooser chooser;

	private final EntryRanks ranks;

	ServiceEngines(Supplier<Optional<ServingPlan>> plan, Eligibility eligibility, TargetChooser chooser,
			EntryRanks ranks) {
		this.plan = plan;
		this.eligibility = eligibility;
		this.chooser = chooser;
		this.ranks = ranks;
	}

	Optional<EngineSpec> engine(String service) {
		return this.plan.get().flatMap((p) -> p.findService(service)).flatMap(ServiceSpec::engine);
	}

	@Override
	public int mostUrgentPriority(String service) {
		return this.plan.get().map((p) -> p.mostUrgentPriority(service)).orElse(0);
	}

	@Override
	public long memoryTokens(String service) {
		return engine(service).map(EngineSpec::memoryTokens).orElse(0L);
	}

	@Override
	public int acceptingEngines(String service) {
		return this.eligibility.acceptingTargets(service).size();
	}

	@Override
	public double reservedTokens(ListedTarget target, long now) {
		return engine(target.service()).map((e) -> this.chooser.utilization(target, e, now) * e.memoryTokens())
			.orElse(0.0);
	}

	@Override
	public int entries() {
		return this.ranks.entries();
	}

}
