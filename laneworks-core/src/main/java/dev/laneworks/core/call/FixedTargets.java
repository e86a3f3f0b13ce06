package dev.laneworks.core.call;

import java.util.Optional;

import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.routing.Route;

/**
 * Finds the one target of a call that may not go elsewhere.
 */
final class FixedTargets {

	private FleetConfiguration configuration;

	void use(FleetConfiguration newConfiguration) {
		this.configuration = newConfiguration;
	}

	// The target that the call's ticket names, or the home of its key.
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
