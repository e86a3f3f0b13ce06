package dev.laneworks.sidecar;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;

import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.host.HostSettings;
import dev.laneworks.runtime.program.Addresses;
import dev.laneworks.runtime.program.CommonSettings;

/**
 * The settings of a sidecar.
 *
 * @param common what both programs have
 * @param address where entries reach it
 * @param target the target
 * @param host the bounds and times of the generations
 * @param drainLimit how long a planned stop may take, or zero for as long as it needs
 * @since 0.1
 */
public record SidecarSettings(CommonSettings common, InetSocketAddress address, URI target, HostSettings host,
		Duration drainLimit) {

	private static final Duration ONE_MILLI = Duration.ofMillis(1);

	private static final Duration ONE_HOUR = Duration.ofHours(1);

	/**
	 * Read the settings.
	 * @param root the document
	 * @return the settings
	 */
	public static SidecarSettings read(DocumentObject root) {
		return new SidecarSettings(CommonSettings.read(root, "target"), Addresses.address(root, "address"),
				Addresses.server(root, "targetAddress"), host(root.object("admission"), root.object("streams")),
				root.duration("drainLimit", Duration.ZERO, Duration.ofDays(1), Duration.ZERO));
	}

	private static HostSettings host(DocumentObject admission, DocumentObject streams) {
		HostSettings defaults = HostSettings.defaults(0);
		return new HostSettings((int) admission.integer("maxRunning", 1, 100_000, defaults.maxRunning()),
				(int) admission.integer("maxQueued", 0, 1_000_000, defaults.maxQueued()),
				admission.integer("memoryTokens", 0, 1_000_000_000_000L, 0),
				admission.number("highWater", 0.5, 1, defaults.highWater()),
				admission.number("deviations", 0, 10, defaults.deviations()),
				millis(admission, "ageing", defaults.ageingMillis()),
				millis(streams, "orphan", defaults.orphanMillis()), millis(streams, "hold", defaults.holdMillis()),
				millis(streams, "targetRecovery", defaults.reattachMillis()),
				millis(streams, "askAboutKeys", defaults.askMillis()),
				millis(streams, "pauseNoticed", defaults.pauseMillis()),
				(int) admission.integer("lengthHalfLife", 1, 1_000_000, defaults.lengthHalfLife()));
	}

	private static long millis(DocumentObject object, String name, long fallback) {
		return object.duration(name, ONE_MILLI, ONE_HOUR, Duration.ofMillis(fallback)).toMillis();
	}

}
