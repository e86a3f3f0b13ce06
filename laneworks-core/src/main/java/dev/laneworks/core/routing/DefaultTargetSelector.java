package dev.laneworks.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.message.LoadReport;

/**
 * {@link TargetSelector} that selects by data centre, load and cached prefix among a
 * bounded subset of targets.
 * <p>
 * Data centres are tried in the order of the intent, followed by those that its spill
 * rule adds. Within a data centre, the less loaded of two random targets competes with
 * the target that the prefix of the prompt maps to. Random choice keeps entries with the
 * same stale load reports from all selecting the same target. The next data centre is
 * tried if the best target is full. Not thread-safe.
 *
 * @since 0.1
 */
public final class DefaultTargetSelector implements TargetSelector {

	private static final double FULL = 1.0;

	private static final double QUEUE_WEIGHT = 0.25;

	private static final double SENT_WEIGHT = 0.05;

	private static final double PREFIX_BONUS = 0.15;

	private final TargetStates states;

	private final TargetSubset subset;

	private final String ownDataCentre;

	private final RandomGenerator random;

	private final Map<String, List<TargetDescription>> subsets = new HashMap<>();

	private FleetConfiguration configuration;

	/**
	 * Create a selector.
	 * @param states the recorded state of each target
	 * @param subset selects the targets that the entry uses
	 * @param ownDataCentre the data centre of the entry
	 * @param random the source of random choices
	 */
	public DefaultTargetSelector(TargetStates states, TargetSubset subset, String ownDataCentre,
			RandomGenerator random) {
		this.states = states;
		this.subset = subset;
		this.ownDataCentre = ownDataCentre;
		this.random = random;
	}

	/**
	 * Apply a configuration.
	 * @param configuration the configuration in force
	 */
	public void use(FleetConfiguration configuration) {
		this.configuration = configuration;
		this.subsets.clear();
		for (String model : configuration.models()) {
			this.subsets.put(model, this.subset.choose(model, configuration.targetsServing(model)));
		}
	}

	/**
	 * Return the targets used for any model.
	 * @return the targets without duplicates
	 */
	public List<TargetDescription> usedTargets() {
		return this.subsets.values().stream().flatMap(List::stream).distinct().toList();
	}

	@Override
	public Optional<Route> select(RouteRequest request, long now) {
		if (this.configuration == null) {
			return Optional.empty();
		}
		List<TargetDescription> usable = usable(request, now);
		Candidate leastFull = null;
		for (String dataCentre : dataCentres(request.intent(), usable)) {
			Candidate best = best(dataCentre, usable, request.prefixHash(), now);
			if (best == null) {
				continue;
			}
			if (best.score() < FULL) {
				return Optional.of(best.route());
			}
			if (leastFull == null || best.score() < leastFull.score()) {
				leastFull = best;
			}
		}
		return Optional.ofNullable(leastFull).map(Candidate::route);
	}

	private List<TargetDescription> usable(RouteRequest request, long now) {
		List<TargetDescription> usable = new ArrayList<>();
		for (TargetDescription target : this.subsets.getOrDefault(request.model(), List.of())) {
			TargetState state = this.states.state(target.name());
			if (!request.excluded().contains(target.name()) && !state.isDraining() && state.health().isUsable(now)) {
				usable.add(target);
			}
		}
		List<TargetDescription> linked = usable.stream().filter((t) -> this.states.state(t.name()).isLinked()).toList();
		return linked.isEmpty() ? usable : linked;
	}

	private List<String> dataCentres(Intent intent, List<TargetDescription> usable) {
		List<String> order = new ArrayList<>(intent.dataCentres().orElse(List.of(this.ownDataCentre)));
		List<String> regions = usable.stream()
			.filter((t) -> order.contains(t.dataCentre()))
			.map(TargetDescription::region)
			.toList();
		for (TargetDescription target : usable) {
			boolean allowed = intent.dataCentres().isEmpty() || switch (intent.spill()) {
				case NONE -> false;
				case REGION -> regions.contains(target.region());
				case ANY -> true;
			};
			if (allowed && !order.contains(target.dataCentre())) {
				order.add(target.dataCentre());
			}
		}
		return order;
	}

	private Candidate best(String dataCentre, List<TargetDescription> usable, long prefixHash, long now) {
		List<TargetDescription> local = usable.stream().filter((t) -> t.dataCentre().equals(dataCentre)).toList();
		if (local.isEmpty()) {
			return null;
		}
		TargetDescription first = local.get(this.random.nextInt(local.size()));
		TargetDescription second = local.get(this.random.nextInt(local.size()));
		Candidate best = better(candidate(first, 0, "less loaded of two"), candidate(second, 0, "less loaded of two"));
		if (prefixHash != 0) {
			TargetDescription prefix = Rendezvous.first(prefixHash, local, TargetDescription::name).orElseThrow();
			best = better(best, candidate(prefix, PREFIX_BONUS, "holds the prefix"));
		}
		return best;
	}

	private Candidate candidate(TargetDescription target, double bonus, String reason) {
		TargetState state = this.states.state(target.name());
		LoadReport report = state.report();
		double used = (report.capacityTokens() > 0) ? (double) report.usedTokens() / report.capacityTokens() : 0;
		double score = used + QUEUE_WEIGHT * report.queued() + SENT_WEIGHT * state.sentSinceReport() - bonus;
		return new Candidate(target, score, reason);
	}

	private static Candidate better(Candidate a, Candidate b) {
		return (b.score() < a.score()) ? b : a;
	}

	private record Candidate(TargetDescription target, double score, String reason) {

		Route route() {
			return new Route(this.target,
					"%s in %s, score %.2f".formatted(this.reason, this.target.dataCentre(), this.score));
		}

	}

}
