package dev.laneworks.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import dev.laneworks.core.call.CallSettings;
import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.stream.TokenSigner;
import dev.laneworks.entry.caller.CallerSettings;
import dev.laneworks.runtime.program.Addresses;
import dev.laneworks.runtime.program.CommonSettings;

/**
 * Settings of an entry.
 *
 * @param common the settings that entries and sidecars share
 * @param callers the limits of callers' connections and requests
 * @param calls the limits and timeouts of calls
 * @param targetsInOwnDataCentre the maximum number of targets per model in the entry's
 * own data centre
 * @param targetsInOtherDataCentres the maximum number of targets per model in each other
 * data centre
 * @param retryShare the number of retries that each success adds to the retry budget
 * @param secret the key shared by all entries that seals tickets and stream positions
 * @param seeds sidecars to fetch the configuration from while the configuration service
 * is unreachable
 * @param drainLimit the time limit of a graceful shutdown, or zero for none
 * @since 0.1
 */
public record EntrySettings(CommonSettings common, CallerSettings callers, CallSettings calls,
		int targetsInOwnDataCentre, int targetsInOtherDataCentres, double retryShare, byte[] secret,
		List<InetSocketAddress> seeds, Duration drainLimit) {

	private static final Duration MIN_TIMEOUT = Duration.ofMillis(1);

	private static final Duration MAX_TIMEOUT = Duration.ofMinutes(1);

	/**
	 * Read the settings from a settings document.
	 * @param root the root of the document
	 * @return the validated settings
	 */
	public static EntrySettings read(DocumentObject root) {
		DocumentObject routing = root.object("routing");
		return new EntrySettings(CommonSettings.read(root, "instance"), CallerSettings.read(root),
				calls(root.object("calls")), (int) routing.integer("targetsInOwnDataCentre", 1, 1000, 4),
				(int) routing.integer("targetsInOtherDataCentres", 0, 1000, 1), routing.number("retryShare", 0, 1, 0.1),
				secret(root), seeds(root),
				root.duration("drainLimit", Duration.ZERO, Duration.ofDays(1), Duration.ZERO));
	}

	private static CallSettings calls(DocumentObject object) {
		CallSettings defaults = CallSettings.defaults();
		return new CallSettings(millis(object, "connect", defaults.connectMillis()),
				millis(object, "dispatch", defaults.dispatchMillis()), millis(object, "bar", defaults.revokeMillis()),
				millis(object, "recovery", defaults.reattachMillis()),
				(int) object.integer("attempts", 1, 10, defaults.maxAttempts()),
				(int) object.integer("window", 32, 100_000, defaults.window()));
	}

	private static byte[] secret(DocumentObject root) {
		byte[] secret = root.text("secret").getBytes(StandardCharsets.UTF_8);
		if (secret.length < TokenSigner.MIN_SECRET_BYTES) {
			throw root.invalid("secret", "must have at least " + TokenSigner.MIN_SECRET_BYTES + " bytes");
		}
		return secret;
	}

	private static List<InetSocketAddress> seeds(DocumentObject root) {
		List<InetSocketAddress> seeds = new ArrayList<>();
		for (DocumentObject seed : root.objects("seeds")) {
			seeds.add(Addresses.address(seed, "address"));
		}
		return seeds;
	}

	private static long millis(DocumentObject object, String name, long defaultMillis) {
		return object.duration(name, MIN_TIMEOUT, MAX_TIMEOUT, Duration.ofMillis(defaultMillis)).toMillis();
	}

}
