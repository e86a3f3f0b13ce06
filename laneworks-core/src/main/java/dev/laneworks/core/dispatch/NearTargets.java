package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.function.Function;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.locality.Locality;
import dev.laneworks.core.locality.LocalityDecision;
import dev.laneworks.core.locality.TargetWait;

/**
 * Narrows the candidates of a request to the data centre that serves it, and remembers
 * the reason until the request is sent.
 */
final class NearTargets {

	private final Locality locality;

	private LocalityDecision latest = new LocalityDecision("", true, "");

	private long sentElsewhere;

	NearTargets(Locality locality) {
		this.locality = locality;
	}

	/**
	 * Return the candidates in the chosen data centre.
	 * @param candidates the candidates of all data centres
	 * @param goalMillis the response-time goal, in milliseconds
	 * @param wait returns the expected wait at a target
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the candidates, empty only if there are none at all
	 */
	List<ListedTarget> narrow(List<ListedTarget> candidates, long goalMillis, Function<ListedTarget, TargetWait> wait,
			long now) {
		if (candidates.isEmpty()) {
			return candidates;
		}
		this.latest = this.locality.choose(candidates.get(0).service(), goalMillis,
				candidates.stream().map(wait).toList(), now);
		return candidates.stream().filter((t) -> t.dataCentre().equals(this.latest.dataCentre())).toList();
	}

	void reset() {
		this.latest = new LocalityDecision("", true, "");
	}

	// Describes why the request that was routed last leaves this data centre.
	String describe(ListedTarget target) {
		return (this.latest.local() || !target.dataCentre().equals(this.latest.dataCentre())) ? ""
				: ", sent to " + target.dataCentre() + ": " + this.latest.reason();
	}

	void recordSent(boolean local) {
		this.sentElsewhere += local ? 0 : 1;
	}

	long sentElsewhere() {
		return this.sentElsewhere;
	}

}
