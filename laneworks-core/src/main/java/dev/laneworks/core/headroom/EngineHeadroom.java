package dev.laneworks.core.headroom;

import java.util.HashMap;
import java.util.Map;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Start limit that keeps engine memory free for generations of reclaimed engines and for
 * the most urgent priority.
 * <p>
 * Both reserves overlap, since urgent generations end soon. Everything is learned from
 * what this entry observes, so a new entry assumes no reclaims. Not thread-safe.
 *
 * @since 0.4
 */
public final class EngineHeadroom implements StartLimit {

	/**
	 * Limit of the most urgent priority, whose generations are gone before most moves
	 * need the memory.
	 */
	static final double URGENT_LIMIT = 0.97;

	/** Memory kept free for the growth of running generations. */
	static final double GROWTH_MARGIN = 0.03;

	/** Lowest limit, so that less urgent generations are never shut out. */
	static final double MIN_LIMIT = 0.5;

	private final EngineFleet fleet;

	private final Map<String, ServiceHeadroom> services = new HashMap<>();

	/** When the departure of each engine was recorded. */
	private final Map<TargetIncarnation, Long> departedAt = new HashMap<>();

	/**
	 * Create a start limit without observations.
	 * @param fleet the engines and their memory
	 */
	public EngineHeadroom(EngineFleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Record that a generation arrived at this entry.
	 * @param service the name of the service
	 * @param priority the priority, 0 being the highest
	 * @param tokens the memory that it needs, in tokens
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordArrival(String service, int priority, long tokens, long now) {
		ServiceHeadroom headroom = of(service);
		if (isMostUrgent(service, priority)) {
			headroom.urgent().recordArrival(tokens, now);
		}
	}

	/**
	 * Record that a generation ended regularly.
	 * @param service the name of the service
	 * @param priority the priority, 0 being the highest
	 * @param millis the time that it spent at its engine, in milliseconds
	 */
	public void recordEnd(String service, int priority, long millis) {
		if (isMostUrgent(service, priority)) {
			of(service).urgent().recordTimeAtEngine(millis);
		}
	}

	/**
	 * Record that an engine starts draining or is removed. To be called before the work
	 * there is moved; only the first of several reports counts.
	 * @param engine the engine that leaves
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordDeparture(ListedTarget engine, long now) {
		this.departedAt.values().removeIf((at) -> now - at > DisplacedMemory.RETENTION_MILLIS);
		if (this.departedAt.putIfAbsent(engine.incarnation(), now) == null) {
			String service = engine.service();
			double staying = (double) this.fleet.acceptingEngines(service) * this.fleet.memoryTokens(service);
			of(service).displaced().record(this.fleet.reservedTokens(engine, now), staying, now);
		}
	}

	/**
	 * Record that the process resumed after a pause.
	 * @param millis the length of the pause, in milliseconds
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void recordPause(long millis, long now) {
		if (millis > DisplacedMemory.GROUP_MILLIS) {
			this.services.values().forEach((s) -> s.displaced().recordPause(now));
		}
	}

	@Override
	public double maxUtilization(String service, int priority, long now) {
		if (isMostUrgent(service, priority)) {
			return URGENT_LIMIT;
		}
		double reserve = Math.max(displacedShare(service, now), urgentShare(service, now));
		return Math.max(MIN_LIMIT, 1 - reserve - GROWTH_MARGIN);
	}

	/**
	 * Return the largest share of the remaining engine memory that recently had to move
	 * at once.
	 * @param service the name of the service
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the share, from 0 to 0.35
	 */
	public double displacedShare(String service, long now) {
		return of(service).displaced().largestShare(now);
	}

	/**
	 * Return the largest displaced share of all services.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the share; 0 without services
	 */
	public double largestDisplacedShare(long now) {
		return this.services.keySet().stream().mapToDouble((s) -> displacedShare(s, now)).max().orElse(0);
	}

	/**
	 * Return the lowest start limit of all services for less urgent priorities.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the limit; 1 without services
	 */
	public double lowestLimit(long now) {
		return this.services.keySet()
			.stream()
			.mapToDouble((s) -> maxUtilization(s, Integer.MAX_VALUE, now))
			.min()
			.orElse(1);
	}

	private double urgentShare(String service, long now) {
		double tokens = of(service).urgent()
			.tokensPerEngine(this.fleet.entries(), this.fleet.acceptingEngines(service), now);
		return tokens / Math.max(1, this.fleet.memoryTokens(service));
	}

	// An account may have a more urgent priority than all routes.
	private boolean isMostUrgent(String service, int priority) {
		return priority <= this.fleet.mostUrgentPriority(service);
	}

	private ServiceHeadroom of(String service) {
		return this.services.computeIfAbsent(service, (s) -> ServiceHeadroom.unknown());
	}

}
