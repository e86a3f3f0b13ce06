package dev.laneworks.core.locality;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Decides which data centre serves a request.
 * <p>
 * Requests stay in the data centre of this entry while it serves them in time. When the
 * expected wait there uses up too much of the goal, a part of them that grows with the
 * wait is sent to other data centres, in proportion to their free capacity. Not
 * thread-safe.
 *
 * @since 0.4
 */
public final class Locality {

	/** Maximum wait elsewhere, relative to the local wait. */
	private static final double MAX_REMOTE_WAIT = 0.5;

	/**
	 * Time without an update from a data centre after which it counts as cut off; two
	 * missed updates at the interval of 3 s, and a margin.
	 */
	private static final long MAX_SILENCE_MILLIS = 7_000;

	private final String dataCentre;

	private final DataCentreUpdates updates;

	private final RandomGenerator random;

	private final Map<Use, LocalWait> localWaits = new HashMap<>();

	private long changes;

	/**
	 * Create the decision of an entry.
	 * @param dataCentre the data centre of the entry
	 * @param updates returns when the last updates from other data centres arrived
	 * @param random the source of the distribution over data centres
	 */
	public Locality(String dataCentre, DataCentreUpdates updates, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.updates = updates;
		this.random = random;
	}

	/**
	 * Choose the data centre of a request.
	 * @param service the name of the service
	 * @param goalMillis the response-time goal of the request, in milliseconds
	 * @param targets the expected waits at all candidate targets, at least one
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the data centre of at least one candidate
	 */
	public LocalityDecision choose(String service, long goalMillis, Collection<TargetWait> targets, long now) {
		Map<String, DataCentreLoad> loads = new TreeMap<>();
		targets.stream()
			.collect(Collectors.groupingBy(TargetWait::dataCentre))
			.forEach((name, waits) -> loads.put(name, DataCentreLoad.of(waits)));
		DataCentreLoad local = loads.remove(this.dataCentre);
		if (local == null) {
			return elsewhere(preferConnected(loads, now), goalMillis, "no target in " + this.dataCentre);
		}
		LocalWait wait = this.localWaits.computeIfAbsent(new Use(service, goalMillis),
				(u) -> new LocalWait(goalMillis));
		wait.update(local.waitMillis(), now);
		loads.keySet().removeIf((name) -> isCutOff(name, now));
		loads.values().removeIf((l) -> l.waitMillis() >= MAX_REMOTE_WAIT * wait.millis() || l.freeCapacity() <= 0);
		this.changes += wait.changesDirection(!loads.isEmpty()) ? 1 : 0;
		if (loads.isEmpty() || this.random.nextDouble() >= wait.partToLeave()) {
			return new LocalityDecision(this.dataCentre, true, "");
		}
		return elsewhere(loads, goalMillis,
				"local wait " + Math.round(wait.millis()) + " ms of the goal of " + goalMillis + " ms");
	}

	// Falls back to all data centres if none is connected.
	private Map<String, DataCentreLoad> preferConnected(Map<String, DataCentreLoad> loads, long now) {
		Map<String, DataCentreLoad> connected = new TreeMap<>(loads);
		connected.keySet().removeIf((name) -> isCutOff(name, now));
		return connected.isEmpty() ? loads : connected;
	}

	private boolean isCutOff(String name, long now) {
		return this.updates.silentMillis(name, now) > MAX_SILENCE_MILLIS;
	}

	private LocalityDecision elsewhere(Map<String, DataCentreLoad> loads, long goalMillis, String cause) {
		String chosen = draw(loads, goalMillis);
		return new LocalityDecision(chosen, false,
				cause + ", wait there " + Math.round(loads.get(chosen).waitMillis()) + " ms");
	}

	private String draw(Map<String, DataCentreLoad> loads, long goalMillis) {
		double left = this.random.nextDouble() * loads.values().stream().mapToDouble((l) -> l.weight(goalMillis)).sum();
		String last = "";
		for (Map.Entry<String, DataCentreLoad> load : loads.entrySet()) {
			last = load.getKey();
			left -= load.getValue().weight(goalMillis);
			if (left < 0) {
				return last;
			}
		}
		return last;
	}

	/**
	 * Return how often requests began or ceased to leave this data centre.
	 * @return the count since the start, for all services and goals
	 */
	public long changes() {
		return this.changes;
	}

	/**
	 * Requests that leave and return together.
	 *
	 * @param service the name of the service
	 * @param goalMillis the response-time goal, in milliseconds
	 */
	private record Use(String service, long goalMillis) {

	}

}
