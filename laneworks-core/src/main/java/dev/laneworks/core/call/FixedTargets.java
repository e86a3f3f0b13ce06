package dev.laneworks.core.call;

import java.util.Optional;

import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.routing.Route;

/**
 * Finds the only permitted target of a call with a once key.
 */
final class FixedTargets {

	private FleetConfiguration configuration;

	void use(FleetConfiguration newConfiguration) {
		this.configuration = newConfiguration;
	}

	// Returns the target named by the call's ticket, or the home of its key.
	Optional<Route> find(Call call) {
		if (this.configuration == null) {
			return Optional.empty();
		}
		Optional<String> ticketTarget = call.request().ticketTarget();
		Optional<String> name = ticketTarget.isPresent() ? ticketTarget
				: ViewHistory.home(this.configuration.targetsServing(call.work().model()), call.work().model(),
						call.work().generationName(0));
		String reason = ticketTarget.isPresent() ? "named by the ticket" : "home of the key";
		return name.flatMap(this.configuration::target).map((t) -> new Route(t, reason));
	}

}
