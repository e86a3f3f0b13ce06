package dev.laneworks.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.locality.DataCentreUpdates;
import dev.laneworks.core.locality.Locality;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.serving.EngineSpec;
import dev.laneworks.core.speed.EnginePlacement;
import dev.laneworks.core.speed.GenerationNeeds;
import dev.laneworks.core.speed.PlainTime;
import dev.laneworks.core.speed.ServiceSpeed;
import dev.laneworks.core.speed.TargetSpeed;

/**
 * Scores candidate targets and selects the best one for a request, a generation or a copy
 * of a generation's KV cache.
 * <p>
 * A lower score is better. Plain services are compared by request load and response time,
 * engines by memory utilization and unread prompt tokens. The speed of targets counts for
 * services whose targets report it. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetChooser {

	/** Score penalty of a plain target in another data centre. */
	private static final double REMOTE_PENALTY_PLAIN = 0.12;

	/**
	 * Score penalty of an engine in another data centre, as a fraction of engine memory.
	 * Limits stream traffic between data centres.
	 */
	private static final double REMOTE_PENALTY_ENGINE = 0.10;

	/**
	 * Score penalty of a remote engine where the local data centre has at least
	 * {@link #MIN_LOCAL_ENGINES} candidates. Must stay below the penalty of one unread
	 * prompt.
	 */
	private static final double REMOTE_PENALTY_ENGINE_LOCAL_CHOICE = 0.15;

	private static final int MIN_LOCAL_ENGINES = 4;

	/**
	 * Score penalty of a copy destination in another data centre, where copies take twice
	 * as long and share the link.
	 */
	private static final double REMOTE_PENALTY_COPY = 0.5;

	/** Score penalty of a copy destination whose link already carries a copy. */
	private static final double BUSY_LINK_PENALTY = 0.3;

	/**
	 * Maximum part of a copy destination's score that depends on the source. Prevents
	 * engines that drain together from all copying to the same engine, whose link carries
	 * one copy at a time.
	 */
	private static final double COPY_SPREAD = 0.5;

	private static final double HALF_RANGE = 0x1p63;

	/**
	 * Memory utilization, including the copy, up to which all copy destinations count as
	 * equal. Leaves a margin for an estimate that is wrong by a tenth.
	 */
	private static final double AMPLE_MEMORY_UTILIZATION = 0.75;

	/** Score penalty of each request queued at an engine. */
	private static final double QUEUED_REQUEST_PENALTY = 0.15;

	/**
	 * Score penalty of an engine for each thousand prompt tokens it has yet to read.
	 * Prefers an idle engine to one with slightly more free memory.
	 */
	private static final double UNREAD_KILOTOKEN_PENALTY = 0.22;

	private static final double THOUSAND = 1_000;

	/** Size up to which a generation counts towards a start limit, in mean sizes. */
	private static final double MAX_COUNTED_MEANS = 1.25;

	/** Maximum utilization of an engine at which a larger generation starts. */
	private static final double MAX_UTILIZATION_WITH_LARGE = 0.97;

	/**
	 * Memory utilization, including the generation, up to which an engine counts as
	 * having free memory.
	 */
	private static final double ROOM_UTILIZATION = 0.9;

	/**
	 * Score penalty of a target that recently rejected a request because it was full.
	 */
	private static final double FULL_PENALTY = 1;

	/** Maximum random part of a score, so that processes choose differently. */
	private static final double MAX_JITTER = 0.05;

	/**
	 * Maximum random part of a new generation's score. Spreads placements that other
	 * processes made too recently to be visible here: engines without unread prompts
	 * count as equal unless one holds a generation or two more.
	 */
	private static final double PLACEMENT_SPREAD = 0.25;

	/**
	 * Upper bound of the factor by which slow responses raise a plain target's score.
	 */
	private static final double MAX_SLOWNESS_FACTOR = 8;

	/** Initial estimate of the tokens held by a generation of another process. */
	private static final double INITIAL_MEAN_TOKENS = 3_000;

	/** Weight of the newest generation in the moving average. */
	private static final double NEWEST_SAMPLE_WEIGHT = 0.05;

	private final Eligibility eligibility;

	private final TargetEstimates estimates;

	private final String dataCentre;

	private final RandomGenerator random;

	private final Mechanisms mechanisms;

	private final NearTargets nearTargets;

	private double meanTokens = INITIAL_MEAN_TOKENS;

	/**
	 * Create a chooser for a process that knows no other entries.
	 * @param eligibility the candidate filter
	 * @param estimates the recorded state of all targets
	 * @param dataCentre the data centre of this process
	 * @param random the source of jitter
	 * @param mechanisms the optional mechanisms that are enabled
	 */
	public TargetChooser(Eligibility eligibility, TargetEstimates estimates, String dataCentre, RandomGenerator random,
			Mechanisms mechanisms) {
		this(eligibility, estimates, dataCentre, (name, now) -> 0, random, mechanisms);
	}

	/**
	 * Create a chooser.
	 * @param eligibility the candidate filter
	 * @param estimates the recorded state of all targets
	 * @param dataCentre the data centre of this process
	 * @param updates returns when the last updates from other data centres arrived
	 * @param random the source of jitter
	 * @param mechanisms the optional mechanisms that are enabled
	 */
	public TargetChooser(Eligibility eligibility, TargetEstimates estimates, String dataCentre,
			DataCentreUpdates updates, RandomGenerator random, Mechanisms mechanisms) {
		this.eligibility = eligibility;
		this.estimates = estimates;
		this.dataCentre = dataCentre;
		this.random = random;
		this.mechanisms = mechanisms;
		this.nearTargets = new NearTargets(new Locality(dataCentre, updates, random), estimates, dataCentre,
				mechanisms);
	}

	/**
	 * Choose a target for a request to a plain service.
	 * @param filter the candidate filter of the request
	 * @param goalMillis the response-time goal of the request, in milliseconds; 0 if
	 * there is none
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the target with the lowest score, or empty if no target is eligible
	 */
	public Optional<ListedTarget> choosePlain(CandidateFilter filter, long goalMillis, long now) {
		List<ListedTarget> candidates = candidates(filter, now);
		double fastest = candidates.stream()
			.mapToDouble((t) -> this.estimates.of(t).quality().responseMillis())
			.filter((millis) -> millis > 0)
			.min()
			.orElse(1);
		ServiceSpeed speeds = speeds(candidates, now);
		List<ListedTarget> near = this.nearTargets.forRequest(candidates, speeds, goalMillis, now);
		return lowestScored(near, (t) -> plainScore(t, fastest, speeds, now));
	}

	/**
	 * Choose an engine for a generation whose needs are not known.
	 * @param filter the candidate filter of the generation
	 * @param engine the capabilities of the service's engines
	 * @param size the size of the generation
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the engine with the lowest score, or empty if no engine is eligible
	 */
	public Optional<ListedTarget> chooseEngine(CandidateFilter filter, EngineSpec engine, GenerationSize size,
			long now) {
		return chooseEngine(filter, engine, size, GenerationNeeds.UNKNOWN, now);
	}

	/**
	 * Choose an engine for a generation.
	 * @param filter the candidate filter of the generation
	 * @param engine the capabilities of the service's engines
	 * @param size the size of the generation
	 * @param needs the speed that the generation needs
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the engine with the lowest score, or empty if no engine is eligible
	 */
	public Optional<ListedTarget> chooseEngine(CandidateFilter filter, EngineSpec engine, GenerationSize size,
			GenerationNeeds needs, long now) {
		recordSize(size);
		List<ListedTarget> engines = candidates(filter, now);
		return lowestScoredEngine(engines, engines, engine, size, needs, now);
	}

	/**
	 * Choose an engine for a generation among those that have memory for it. Updates from
	 * other data centres are older, so an engine there must have memory for two such
	 * generations.
	 * @param filter the candidate filter of the generation
	 * @param engine the capabilities of the service's engines
	 * @param size the size of the generation
	 * @param needs the speed that the generation needs
	 * @param maxUtilization the maximum memory utilization of the engine including the
	 * generation
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the engine with the lowest score, or empty if none has memory
	 * @since 0.4
	 */
	public Optional<ListedTarget> chooseEngineWithRoom(CandidateFilter filter, EngineSpec engine, GenerationSize size,
			GenerationNeeds needs, double maxUtilization, long now) {
		List<ListedTarget> engines = candidates(filter, now);
		List<ListedTarget> withRoom = engines.stream()
			.filter((t) -> hasRoom(t, engine, size, maxUtilization, now))
			.toList();
		Optional<ListedTarget> chosen = lowestScoredEngine(withRoom, engines, engine, size, needs, now);
		chosen.ifPresent((t) -> recordSize(size));
		return chosen;
	}

	// A large generation counts only in part towards the limit: it would starve if
	// smaller ones took all memory released below the limit. It must fit nevertheless.
	private boolean hasRoom(ListedTarget target, EngineSpec engine, GenerationSize size, double maxUtilization,
			long now) {
		double utilization = utilization(target, engine, now);
		double counted = Math.min(size.reservedTokens(0), MAX_COUNTED_MEANS * this.meanTokens) / engine.memoryTokens();
		double needed = (double) size.reservedTokens(0) / engine.memoryTokens();
		return utilization + counted * (isLocal(target, this.dataCentre) ? 1 : 2) <= maxUtilization
				&& utilization + needed <= Math.max(maxUtilization, MAX_UTILIZATION_WITH_LARGE);
	}

	private void recordSize(GenerationSize size) {
		this.meanTokens += NEWEST_SAMPLE_WEIGHT * (size.reservedTokens(0) - this.meanTokens);
	}

	private Optional<ListedTarget> lowestScoredEngine(List<ListedTarget> choice, List<ListedTarget> engines,
			EngineSpec engine, GenerationSize size, GenerationNeeds needs, long now) {
		long tokens = size.reservedTokens(0);
		double remotePenalty = hasLocalChoice(engines) ? REMOTE_PENALTY_ENGINE_LOCAL_CHOICE : REMOTE_PENALTY_ENGINE;
		ServiceSpeed speeds = speeds(engines, now);
		EnginePlacement placement = new EnginePlacement(speeds, needs);
		List<ListedTarget> near = this.nearTargets.forGeneration(choice, speeds, needs.goalMillis(), engine, size,
				(t) -> utilization(t, engine, now) + (double) tokens / engine.memoryTokens(), now);
		List<ListedTarget> suitable = placement.suitable(near, this::speed, engine.tokensPerEvent(),
				(t) -> utilization(t, engine, now) + (double) tokens / engine.memoryTokens() <= ROOM_UTILIZATION);
		return lowestScored(suitable,
				(t) -> engineScore(t, engine, tokens, placement, now) + distanceScore(t, this.dataCentre, remotePenalty)
						+ placement.startScore(speed(t)) + placementSpread());
	}

	private double placementSpread() {
		return this.mechanisms.isEnabled(Mechanism.SPREAD_PLACING) ? this.random.nextDouble() * PLACEMENT_SPREAD : 0;
	}

	/**
	 * Choose the engine with the lowest memory utilization, regardless of all other
	 * criteria.
	 * @param filter the candidate filter of the generation
	 * @param engine the capabilities of the service's engines
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the engine, or empty if no engine is eligible
	 */
	public Optional<ListedTarget> chooseLeastUtilized(CandidateFilter filter, EngineSpec engine, long now) {
		return lowestScored(candidates(filter, now), (t) -> utilization(t, engine, now));
	}

	private boolean hasLocalChoice(List<ListedTarget> engines) {
		return engines.stream().filter((t) -> t.dataCentre().equals(this.dataCentre)).count() >= MIN_LOCAL_ENGINES;
	}

	/**
	 * Choose the engine to which a running generation is moved.
	 * @param source the engine that runs the generation
	 * @param filter the candidate filter of the generation
	 * @param engine the capabilities of the service's engines
	 * @param tokens the memory that the generation reserves, in tokens
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the engine, or empty if no other engine is eligible
	 */
	public Optional<ListedTarget> chooseDestination(ListedTarget source, CandidateFilter filter, EngineSpec engine,
			long tokens, long now) {
		List<ListedTarget> others = candidates(filter, now).stream()
			.filter((t) -> !t.id().equals(source.id()))
			.toList();
		EnginePlacement placement = placement(others, now);
		return lowestScored(others, (t) -> destinationScore(source, t, engine, tokens, placement, now));
	}

	// Favours free links and sufficient memory over low utilization, since the copy must
	// complete within the reclaim notice.
	private double destinationScore(ListedTarget source, ListedTarget target, EngineSpec engine, long tokens,
			EnginePlacement placement, long now) {
		double score = engineScore(target, engine, tokens, placement, now)
				+ distanceScore(target, source.dataCentre(), REMOTE_PENALTY_COPY)
				+ placement.destinationScore(speed(target));
		score -= Math.min(AMPLE_MEMORY_UTILIZATION,
				utilization(target, engine, now) + (double) tokens / engine.memoryTokens());
		if (this.estimates.isCopying(target)) {
			score += BUSY_LINK_PENALTY;
		}
		return score + COPY_SPREAD * pairFraction(source, target);
	}

	// A fraction from 0 to 1 that all processes compute alike for a pair of engines.
	private static double pairFraction(ListedTarget source, ListedTarget destination) {
		long weight = Rendezvous.weight(Rendezvous.hash(source.id()), destination.id());
		return (weight >>> 1) / HALF_RANGE;
	}

	/**
	 * Choose the engine that holds a standby copy of a generation. Distance is not
	 * scored, since incremental updates use little bandwidth.
	 * @param source the engine that runs the generation
	 * @param filter the candidate filter of the generation
	 * @param engine the capabilities of the service's engines
	 * @param tokens the memory that the generation reserves, in tokens
	 * @param maxUtilization the maximum memory utilization of the destination including
	 * the copy
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the engine, or empty if no other engine is eligible or the best one exceeds
	 * the maximum utilization
	 */
	public Optional<ListedTarget> chooseBackup(ListedTarget source, CandidateFilter filter, EngineSpec engine,
			long tokens, double maxUtilization, long now) {
		List<ListedTarget> others = candidates(filter, now).stream()
			.filter((t) -> !t.id().equals(source.id()))
			.toList();
		EnginePlacement placement = placement(others, now);
		return lowestScored(others,
				(t) -> engineScore(t, engine, tokens, placement, now) + placement.destinationScore(speed(t)))
			.filter((t) -> utilization(t, engine, now) + (double) tokens / engine.memoryTokens() <= maxUtilization);
	}

	/**
	 * Return the estimated mean memory utilization of a service's engines.
	 * @param service the service's name
	 * @param engine the capabilities of the service's engines
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the fraction in use; 1 if no engine accepts work
	 */
	public double fleetUtilization(String service, EngineSpec engine, long now) {
		return this.eligibility.acceptingTargets(service)
			.stream()
			.mapToDouble((t) -> utilization(t, engine, now))
			.average()
			.orElse(1);
	}

	/**
	 * Return the estimated memory utilization of an engine.
	 * @param target the engine
	 * @param engine the capabilities of the service's engines
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the fraction in use or reserved; above 1 if memory is overcommitted
	 */
	public double utilization(ListedTarget target, EngineSpec engine, long now) {
		return this.estimates.reservedTokens(target, this.meanTokens, now) / engine.memoryTokens();
	}

	private List<ListedTarget> candidates(CandidateFilter filter, long now) {
		List<ListedTarget> eligible = this.eligibility.targets(filter, now);
		if (!this.mechanisms.isEnabled(Mechanism.EJECTION)) {
			return eligible;
		}
		List<ListedTarget> reachable = orAllIfEmpty(
				eligible.stream().filter((t) -> this.eligibility.canHoldCopies(t, now)).toList(), eligible);
		List<ListedTarget> usable = reachable.stream()
			.filter((t) -> this.estimates.of(t).quality().isUsable(now))
			.toList();
		// If at most one target and fewer than half of them are usable, the fault is
		// probably elsewhere, so no target is ejected.
		return (usable.size() * 2 >= reachable.size() || usable.size() > 1) ? usable : reachable;
	}

	// Falls back to all targets if none is reachable.
	private static List<ListedTarget> orAllIfEmpty(List<ListedTarget> preferred, List<ListedTarget> all) {
		return preferred.isEmpty() ? all : preferred;
	}

	private TargetSpeed speed(ListedTarget target) {
		return this.estimates.of(target).speed();
	}

	private ServiceSpeed speeds(List<ListedTarget> targets, long now) {
		return this.mechanisms.isEnabled(Mechanism.LEARNED_SPEED)
				? ServiceSpeed.of(targets.stream().map(this::speed).toList(), now) : ServiceSpeed.UNKNOWN;
	}

	// Returns the rule that keeps requests in this data centre, with its records.
	NearTargets nearTargets() {
		return this.nearTargets;
	}

	/**
	 * Return how many requests were sent to targets of other data centres.
	 * @return the count since the start, without resumed generations
	 * @since 0.4
	 */
	public long sentElsewhere() {
		return this.nearTargets.sentElsewhere();
	}

	private EnginePlacement placement(List<ListedTarget> targets, long now) {
		return new EnginePlacement(speeds(targets, now), GenerationNeeds.UNKNOWN);
	}

	private double plainScore(ListedTarget target, double fastest, ServiceSpeed speeds, long now) {
		TargetEstimate estimate = this.estimates.of(target);
		double response = Math.max(fastest, estimate.quality().responseMillis());
		double slowness = this.mechanisms.isEnabled(Mechanism.LEARNED_SPEED)
				? Math.min(MAX_SLOWNESS_FACTOR, response / fastest) : 1;
		double requests = this.estimates.requests(target, now);
		double time = speeds.isActive() ? PlainTime.of(requests, target.slots(), speeds.plainFactor(estimate.speed()))
				: (requests + 1) / Math.max(1, target.slots()) * slowness;
		double score = time + estimate.quality().failureRate(now) + jitter();
		if (estimate.isFull(now)) {
			score += FULL_PENALTY;
		}
		return score + distanceScore(target, this.dataCentre, REMOTE_PENALTY_PLAIN);
	}

	private double engineScore(ListedTarget target, EngineSpec engine, long tokens, EnginePlacement placement,
			long now) {
		TargetEstimate estimate = this.estimates.of(target);
		double score = (this.estimates.reservedTokens(target, this.meanTokens, now) + tokens) / engine.memoryTokens();
		score += placement.weighPromptTokens(estimate.speed(), this.estimates.pendingPromptTokens(target)) / THOUSAND
				* UNREAD_KILOTOKEN_PENALTY;
		score += estimate.waiting(now) * QUEUED_REQUEST_PENALTY + estimate.quality().failureRate(now) + jitter();
		if (estimate.isFull(now)) {
			score += FULL_PENALTY;
		}
		return score;
	}

	private double distanceScore(ListedTarget target, String from, double remotePenalty) {
		return isLocal(target, from) ? 0 : remotePenalty;
	}

	private boolean isLocal(ListedTarget target, String from) {
		return target.dataCentre().equals(from) || !this.mechanisms.isEnabled(Mechanism.NEAR_TARGETS);
	}

	private double jitter() {
		return this.random.nextDouble() * MAX_JITTER;
	}

	private static Optional<ListedTarget> lowestScored(Collection<ListedTarget> targets, Score score) {
		return targets.stream()
			.map((t) -> new Scored(t, score.of(t)))
			.min(Comparator.comparingDouble(Scored::score))
			.map(Scored::target);
	}

	@FunctionalInterface
	private interface Score {

		double of(ListedTarget target);

	}

	private record Scored(ListedTarget target, double score) {

	}

}
