package dev.laneworks.core.peer;

import java.util.List;

import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.routing.Rendezvous;

/**
 * Selects the sidecars that always watch the configuration service, a fixed number in
 * each data centre.
 *
 * @since 0.1
 */
public final class ConfigurationWatchers {

	private static final int WATCHERS_PER_DATA_CENTRE = 4;

	private static final long KEY = Rendezvous.hash("configuration watchers");

	private ConfigurationWatchers() {
	}

	/**
	 * Determine whether the sidecar of a target watches the service.
	 * @param configuration the configuration in force
	 * @param target the target's name
	 * @return {@code true} if it is selected in its data centre, or if the target is not
	 * in the configuration
	 */
	public static boolean isWatcher(FleetConfiguration configuration, String target) {
		return configuration.target(target).map((t) -> isSelected(configuration, t)).orElse(true);
	}

	private static boolean isSelected(FleetConfiguration configuration, TargetDescription target) {
		List<TargetDescription> local = configuration.targets()
			.stream()
			.filter((t) -> t.dataCentre().equals(target.dataCentre()))
			.toList();
		return Rendezvous.top(KEY, local, TargetDescription::name, WATCHERS_PER_DATA_CENTRE).contains(target);
	}

}
