package dev.laneworks.core.dispatch;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.serving.EngineSpec;

/**
 * Chooses the target that is likely to answer a request soonest, or to hold a generation
 * to its end.
 * <p>
 * A lower score is better. Plain services are compared by the requests at them and their
 * response times, engines by how full their memory will be. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetChooser {

	/** What another data centre adds to a plain target's score. */
	private static final double DISTANCE_PLAIN = 0.12;

	/**
	 * What another data centre adds to an engine's score, as a part of its memory; bytes
	 * between data centres are dear, and a stream is many bytes.
	 */
	private static final double DISTANCE_ENGINE = 0.10;

	/**
	 * What it adds where the own data centre has engines enough to choose among: less
	 * than one more prompt to be read first.
	 */
	private static final double DISTANCE_ENGINE_ENOUGH_NEAR = 0.15;

	/** From how many engines on a data centre has enough to choose among. */
	private static final int ENOUGH_NEAR = 4;

	/**
	 * What another data centre adds to the score of a copy's destination; the copy takes
	 * twice as long there, and copies wait for each other.
	 */
	private static final double DISTANCE_COPY = 0.5;

	/**
	 * What a copy under way over an engine's link adds to its score as a copy's
	 * destination; the copies share the link, as two do between data centres.
	 */
	private static final double BUSY_LINK_WEIGHT = 0.3;

	/**
	 * The greatest part of a score as a copy's destination that differs from source to
	 * source. Engines that leave together would otherwise all copy to the emptiest
	 * engine, whose link takes one copy at a time.
	 */
	private static final double SPREAD_COPIES = 0.5;

	private static final double HALF_RANGE = 0x1p63;

	/**
	 * Up to how full an engine's memory may be with a copy to be as good a destination as
	 * any: there is room then, even where what is believed errs by a tenth.
	 */
	private static final double ROOM_FULLNESS = 0.75;

	/** What a request waiting at an engine adds to its score. */
	private static final double WAITING_WEIGHT = 0.15;

	/**
	 * What a prompt that is to be read first adds to an engine's score, for each thousand
	 * tokens: enough that an engine which reads nothing is preferred to one with somewhat
	 * more room.
	 */
	private static final double UNREAD_WEIGHT = 0.22;

	private static final double THOUSAND = 1_000;

	/** What an engine that has just refused a request gets on top. */
	private static final double FULL_WEIGHT = 1;

	/** The greatest random part of a score, so that processes don't choose alike. */
	private static final double JITTER = 0.05;

	/**
	 * The greatest random part where a generation begins: what other processes sent in
	 * the last milliseconds is not heard yet. Engines that read nothing count as alike
	 * so, unless one is fuller by a generation or two.
	 */
	private static final double SPREAD_NEW = 0.25;

	/** The most that a slow answer counts against a plain target. */
	private static final double MAX_SLOWNESS = 8;

	/** What a generation of another process holds until one was seen, in tokens. */
	private static final double FIRST_MEAN_TOKENS = 3_000;

	/** The weight of the newest generation in the average held. */
	private static final double NEWEST_WEIGHT = 0.05;

	private final Eligibility eligibility;

	private final TargetBeliefs beliefs;

	private final String dataCentre;

	private final RandomGenerator random;

	private final Mechanisms mechanisms;

	private double meanTokens = FIRST_MEAN_TOKENS;

	/**
	 * Create a chooser.
	 * @param eligibility tells which targets come into question
	 * @param beliefs what is believed of them
	 * @param dataCentre the data centre of this process
	 * @param random the source of jitter
	 * @param mechanisms what is used of the mechanisms that can be switched off
	 */
	public TargetChooser(Eligibility eligibility, TargetBeliefs beliefs, String dataCentre, RandomGenerator random,
			Mechanisms mechanisms) {
		this.eligibility = eligibility;
		this.beliefs = beliefs;
		this.dataCentre = dataCentre;
		this.random = random;
		this.mechanisms = mechanisms;
	}

	/**
	 * Choose a target for a request to a plain service.
	 * @param scope which targets come into question
	 * @param now the time in milliseconds
	 * @return the target, or empty if there is none left
	 */
	public Optional<ListedTarget> choosePlain(Scope scope, long now) {
		List<ListedTarget> candidates = candidates(scope, now);
		double fastest = candidates.stream()
			.mapToDouble((t) -> this.beliefs.of(t).quality().responseMillis())
			.filter((millis) -> millis > 0)
			.min()
			.orElse(1);
		return lowest(candidates, (t) -> plainScore(t, fastest, now));
	}

	/**
	 * Choose an engine for a generation.
	 * @param scope which engines come into question
	 * @param engine what they can do
	 * @param work what the generation asks for
	 * @param now the time in milliseconds
	 * @return the engine, or empty if there is none left
	 */
	public Optional<ListedTarget> chooseEngine(Scope scope, EngineSpec engine, EngineWork work, long now) {
		long tokens = work.heldTokens(0);
		this.meanTokens += NEWEST_WEIGHT * (tokens - this.meanTokens);
		List<ListedTarget> engines = candidates(scope, now);
		double distance = hasEnoughNear(engines) ? DISTANCE_ENGINE_ENOUGH_NEAR : DISTANCE_ENGINE;
		return lowest(engines, (t) -> engineScore(t, engine, tokens, this.dataCentre, distance, now) + spread());
	}

	private double spread() {
		return this.mechanisms.use(Mechanism.SPREAD_PLACING) ? this.random.nextDouble() * SPREAD_NEW : 0;
	}

	/**
	 * Choose the engine whose memory is the least full, whatever else speaks for others.
	 * @param scope which engines come into question
	 * @param engine what they can do
	 * @param now the time in milliseconds
	 * @return the engine, or empty if there is none left
	 */
	public Optional<ListedTarget> chooseLeastFull(Scope scope, EngineSpec engine, long now) {
		return lowest(candidates(scope, now), (t) -> fullness(t, engine, now));
	}

	private boolean hasEnoughNear(List<ListedTarget> engines) {
		return engines.stream().filter((t) -> t.dataCentre().equals(this.dataCentre)).count() >= ENOUGH_NEAR;
	}

	/**
	 * Choose where a running generation is copied to.
	 * @param source the engine that runs it
	 * @param scope which engines come into question
	 * @param engine what the service's engines can do
	 * @param tokens the memory that it holds and will hold
	 * @param now the time in milliseconds
	 * @return the engine, or empty if none has room
	 */
	public Optional<ListedTarget> chooseDestination(ListedTarget source, Scope scope, EngineSpec engine, long tokens,
			long now) {
		List<ListedTarget> others = candidates(scope, now).stream().filter((t) -> !t.id().equals(source.id())).toList();
		return lowest(others, (t) -> destinationScore(source, t, engine, tokens, now));
	}

	// A copy has to be made within a notice: what counts is a free link, and room.
	private double destinationScore(ListedTarget source, ListedTarget target, EngineSpec engine, long tokens,
			long now) {
		double score = engineScore(target, engine, tokens, source.dataCentre(), DISTANCE_COPY, now);
		score -= Math.min(ROOM_FULLNESS, fullness(target, engine, now) + (double) tokens / engine.memoryTokens());
		if (this.beliefs.isCopying(target)) {
			score += BUSY_LINK_WEIGHT;
		}
		return score + SPREAD_COPIES * share(source, target);
	}

	// A number from 0 to 1 that each process works out alike for two engines.
	private static double share(ListedTarget source, ListedTarget destination) {
		long weight = Rendezvous.weight(Rendezvous.hash(source.id()), destination.id());
		return (weight >>> 1) / HALF_RANGE;
	}

	/**
	 * Choose where a copy is kept of a generation that runs on; it needs little of a
	 * link, so that the distance hardly counts.
	 * @param source the engine that runs it
	 * @param scope which engines come into question
	 * @param engine what the service's engines can do
	 * @param tokens the memory that it holds and will hold
	 * @param fullest how full the memory of the copy's engine may be with the copy
	 * @param now the time in milliseconds
	 * @return the engine, or empty if there is no other or the best one is too full
	 */
	public Optional<ListedTarget> chooseBackup(ListedTarget source, Scope scope, EngineSpec engine, long tokens,
			double fullest, long now) {
		List<ListedTarget> others = candidates(scope, now).stream().filter((t) -> !t.id().equals(source.id())).toList();
		return lowest(others, (t) -> engineScore(t, engine, tokens, source.dataCentre(), 0, now))
			.filter((t) -> fullness(t, engine, now) + (double) tokens / engine.memoryTokens() <= fullest);
	}

	/**
	 * Return how full the memory of all engines of a service together is believed to be.
	 * @param service the service's name
	 * @param engine what its engines can do
	 * @param now the time in milliseconds
	 * @return the share in use; 1 where no engine takes work
	 */
	public double fleetFullness(String service, EngineSpec engine, long now) {
		return this.eligibility.serving(service)
			.stream()
			.mapToDouble((t) -> fullness(t, engine, now))
			.average()
			.orElse(1);
	}

	/**
	 * Return how full an engine's memory is believed to be.
	 * @param target the engine
	 * @param engine what the service's engines can do
	 * @param now the time in milliseconds
	 * @return the share in use; above 1 where more is promised than there is
	 */
	public double fullness(ListedTarget target, EngineSpec engine, long now) {
		return this.beliefs.heldTokens(target, this.meanTokens, now) / engine.memoryTokens();
	}

	private List<ListedTarget> candidates(Scope scope, long now) {
		List<ListedTarget> open = this.eligibility.targets(scope, now);
		if (!this.mechanisms.use(Mechanism.EJECTION)) {
			return open;
		}
		List<ListedTarget> listening = orAll(open.stream().filter((t) -> this.eligibility.isSound(t, now)).toList(),
				open);
		List<ListedTarget> usable = listening.stream()
			.filter((t) -> this.beliefs.of(t).quality().isUsable(now))
			.toList();
		// A floor: where most look bad the fault is likely to be elsewhere.
		return (usable.size() * 2 >= listening.size() || usable.size() > 1) ? usable : listening;
	}

	// A floor: with no target left that is trusted, any may be tried.
	private static List<ListedTarget> orAll(List<ListedTarget> trusted, List<ListedTarget> all) {
		return trusted.isEmpty() ? all : trusted;
	}

	private double plainScore(ListedTarget target, double fastest, long now) {
		TargetBelief belief = this.beliefs.of(target);
		double response = Math.max(fastest, belief.quality().responseMillis());
		double slowness = this.mechanisms.use(Mechanism.LEARNED_SPEED) ? Math.min(MAX_SLOWNESS, response / fastest) : 1;
		double load = (this.beliefs.requests(target, now) + 1) / Math.max(1, target.slots());
		double score = load * slowness + belief.quality().badShare(now) + jitter();
		if (belief.isFull(now)) {
			score += FULL_WEIGHT;
		}
		return isNear(target, this.dataCentre) ? score : score + DISTANCE_PLAIN;
	}

	private double engineScore(ListedTarget target, EngineSpec engine, long tokens, String from, double distance,
			long now) {
		TargetBelief belief = this.beliefs.of(target);
		double score = (this.beliefs.heldTokens(target, this.meanTokens, now) + tokens) / engine.memoryTokens();
		score += this.beliefs.unreadTokens(target) / THOUSAND * UNREAD_WEIGHT;
		score += belief.waiting(now) * WAITING_WEIGHT + belief.quality().badShare(now) + jitter();
		if (belief.isFull(now)) {
			score += FULL_WEIGHT;
		}
		return isNear(target, from) ? score : score + distance;
	}

	private boolean isNear(ListedTarget target, String from) {
		return target.dataCentre().equals(from) || !this.mechanisms.use(Mechanism.NEAR_TARGETS);
	}

	private double jitter() {
		return this.random.nextDouble() * JITTER;
	}

	private static Optional<ListedTarget> lowest(Collection<ListedTarget> targets, Score score) {
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
