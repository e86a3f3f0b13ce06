package dev.laneworks.sidecar;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;

import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.host.HostSettings;
import dev.laneworks.runtime.program.Addresses;
import dev.laneworks.runtime.program.CommonSettings;

/**
 * Settings of a sidecar.
 *
 * @param common the settings that entries and sidecars share
 * @param address the address to listen on for links from entries
 * @param target the base URI of the target
 * @param host the limits and timeouts of the generation host
 * @param drainLimit the time limit of a graceful shutdown, or zero for none
 * @since 0.1
 */
public record SidecarSettings(CommonSettings common, InetSocketAddress address, URI target, HostSettings host,
		Duration drainLimit) {

	private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);

	private static final Duration MAX_TIMEOUT = Duration.ofHours(1);

	/**
	 * Read the settings from a settings document.
	 * @param root the root of the document
	 * @return the validated settings
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
				admission.number("highWater", 0.5, 1, defaults.highWaterMark()),
				admission.number("deviations", 0, 10, defaults.deviations()),
				millis(admission, "ageing", defaults.ageingMillis()),
				millis(streams, "orphan", defaults.orphanTimeoutMillis()),
				millis(streams, "hold", defaults.outputRetentionMillis()),
				millis(streams, "targetRecovery", defaults.reattachMillis()),
				millis(streams, "askAboutKeys", defaults.keyCheckTimeoutMillis()),
				millis(streams, "pauseNoticed", defaults.pauseMillis()),
				(int) admission.integer("lengthHalfLife", 1, 1_000_000, defaults.lengthHalfLife()));
	}

	private static long millis(DocumentObject object, String name, long defaultMillis) {
		return object.duration(name, MIN_TIMEOUT, MAX_TIMEOUT, Duration.ofMillis(defaultMillis)).toMillis();
	}

}
