package dev.laneworks.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import dev.laneworks.core.call.CallSettings;
import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.stream.TokenSealer;
import dev.laneworks.entry.caller.CallerSettings;
import dev.laneworks.runtime.program.Addresses;
import dev.laneworks.runtime.program.CommonSettings;

/**
 * The settings of an entry.
 *
 * @param common what both programs have
 * @param callers the bounds of callers' connections and requests
 * @param calls the bounds and times of calls
 * @param ownShare the most targets of a model used in the entry's own data centre
 * @param otherShare the most targets of a model used in each other data centre
 * @param retryShare the retries earned by one success
 * @param secret the secret that all entries share
 * @param seeds sidecars that are asked for the configuration when the service can't be
 * reached
 * @param drainLimit how long a planned stop may take, or zero for as long as it needs
 * @since 0.1
 */
public record EntrySettings(CommonSettings common, CallerSettings callers, CallSettings calls, int ownShare,
		int otherShare, double retryShare, byte[] secret, List<InetSocketAddress> seeds, Duration drainLimit) {

	private static final Duration ONE_MILLI = Duration.ofMillis(1);

	private static final Duration ONE_MINUTE = Duration.ofMinutes(1);

	/**
	 * Read the settings.
	 * @param root the document
	 * @return the settings
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
				millis(object, "dispatch", defaults.dispatchMillis()), millis(object, "bar", defaults.barMillis()),
				millis(object, "recovery", defaults.reattachMillis()),
				(int) object.integer("attempts", 1, 10, defaults.maxAttempts()),
				(int) object.integer("window", 32, 100_000, defaults.window()));
	}

	private static byte[] secret(DocumentObject root) {
		byte[] secret = root.text("secret").getBytes(StandardCharsets.UTF_8);
		if (secret.length < TokenSealer.MIN_SECRET_BYTES) {
			throw root.invalid("secret", "must have at least " + TokenSealer.MIN_SECRET_BYTES + " bytes");
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

	private static long millis(DocumentObject object, String name, long fallback) {
		return object.duration(name, ONE_MILLI, ONE_MINUTE, Duration.ofMillis(fallback)).toMillis();
	}

}
