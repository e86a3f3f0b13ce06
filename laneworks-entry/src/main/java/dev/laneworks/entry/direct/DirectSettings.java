package dev.laneworks.entry.direct;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import dev.laneworks.core.dispatch.ColdRateLimit;
import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.follow.FollowSettings;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.waiting.WaitingSettings;
import dev.laneworks.runtime.program.Addresses;

/**
 * Settings of an entry that serves targets without sidecars.
 *
 * @param instance the name of the instance
 * @param dataCentre the data centre of the instance
 * @param regions the region of each data centre
 * @param callers the address that callers connect to
 * @param readiness the address of the readiness check
 * @param operators the address for operators and metric scrapes
 * @param gossipAddress the address at which other entries send gossip
 * @param seeds addresses of instances on which entries may run, {@code IP:PORT}; the port
 * is replaced by that of {@code news}, which is the same for all entries
 * @param store the address of the platform's store
 * @param follow the intervals and timeouts of store calls
 * @param retryWindowMillis the window in milliseconds over which retries are counted
 * @param retryRatio the retries that the fleet may make per request, from 0 to 1
 * @param retryExtra the retries that the fleet may make in each window in addition
 * @param retryExtraShare the part of {@code retryExtra} that all entries together spend,
 * from 0 to 1
 * @param coldBound how far the fleet may exceed the rate that a cold target sustains
 * @param drainMillis the time within which targets that announced their departure may
 * still receive requests, in milliseconds; empty if generations may always resume there
 * @param graceMillis the time from the shutdown request to the end of the process, in
 * milliseconds
 * @param acceptAllMillis the time after the shutdown request during which all requests
 * are accepted, in milliseconds; later ones are accepted only if they end in time even if
 * they use their whole time-out
 * @param maxStartWaitMillis the longest time for which requests that arrive during the
 * start wait unread for the plan, in milliseconds
 * @param mechanisms the mechanisms that are switched on
 * @param waiting the settings of the queue for engine memory; empty if nothing waits
 * @param maxDelayShare the share of a route's goal above which the delay of the event
 * loop leads to refusals; empty if requests are not refused for it
 * @since 0.2
 */
public record DirectSettings(String instance, String dataCentre, Map<String, String> regions, InetSocketAddress callers,
		InetSocketAddress readiness, InetSocketAddress operators, InetSocketAddress gossipAddress, List<String> seeds,
		InetSocketAddress store, FollowSettings follow, long retryWindowMillis, double retryRatio, double retryExtra,
		double retryExtraShare, ColdRateLimit coldBound, OptionalLong drainMillis, long graceMillis,
		long acceptAllMillis, long maxStartWaitMillis, Mechanisms mechanisms, Optional<WaitingSettings> waiting,
		OptionalDouble maxDelayShare) {

	/** Longest time for which the store holds a watch; see {@link FollowSettings}. */
	private static final long DEFAULT_WAIT_MILLIS = 4_000;

	private static final long DEFAULT_ANSWER_TIMEOUT_MILLIS = 700;

	private static final long DEFAULT_GAP_MILLIS = 60;

	private static final long ONE_MINUTE = 60_000;

	private static final double MIN_SECONDS = 0.1;

	private static final double MAX_SECONDS = 3_600;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Below the second after which callers give up on an entry that does not read their
	 * requests. A start takes 0.4 to 1.2 s from listening to the plan.
	 */
	private static final long DEFAULT_START_HOLD_MILLIS = 650;

	private static final int MAX_LIMIT = 1_000_000;

	private static final double MIN_DELAY_SHARE = 0.01;

	/** A request and its answer wait for two to three turns of the event loop. */
	private static final double DEFAULT_DELAY_SHARE = 0.25;

	private static final double DEFAULT_EXTRA_SHARE = 1;

	/**
	 * Smallest number of entries that is assumed, since an isolated entry knows no
	 * others.
	 */
	private static final int MIN_ENTRIES = 5;

	/**
	 * Read the settings from a document.
	 * @param root the root object of the settings document
	 * @return the settings, with defaults for absent members
	 */
	public static DirectSettings read(DocumentObject root) {
		DocumentObject retries = root.object("retries");
		DocumentObject store = root.object("store");
		FollowSettings follow = new FollowSettings(store.integer("waitMillis", 1, ONE_MINUTE, DEFAULT_WAIT_MILLIS),
				store.integer("answerMillis", 1, ONE_MINUTE, DEFAULT_ANSWER_TIMEOUT_MILLIS),
				store.integer("gapMillis", 0, ONE_MINUTE, DEFAULT_GAP_MILLIS));
		return new DirectSettings(root.text("instance"), root.text("dataCentre"), regions(root),
				Addresses.address(root, "callers"), Addresses.address(root, "readiness"),
				Addresses.address(root, "operators"), Addresses.address(root, "news"), root.texts("seeds"),
				Addresses.address(store, "address"), follow,
				millis(retries.number("windowSeconds", MIN_SECONDS, MAX_SECONDS, 10)),
				retries.number("ratio", 0, 1, 0.1), retries.number("extra", 0, MAX_LIMIT, 0),
				retries.number("extraShare", 0, 1, DEFAULT_EXTRA_SHARE), coldBound(root), drainMillis(root),
				millis(root.number("graceSeconds", MIN_SECONDS, MAX_SECONDS, 8)),
				root.integer("takeAllMillis", 0, ONE_MINUTE, 0),
				root.integer("startHoldMillis", 0, ONE_MINUTE, DEFAULT_START_HOLD_MILLIS), Mechanisms.read(root, "off"),
				WaitingSettings.read(root, "waiting"), maxDelayShare(root));
	}

	/**
	 * Return this entry's share of the retries allowed in addition to the ratio.
	 * @param entries the number of known entries, including this one
	 * @return the retries per window
	 */
	public double ownRetryExtra(int entries) {
		return this.retryExtra * this.retryExtraShare / Math.max(MIN_ENTRIES, entries);
	}

	/**
	 * Determine whether other settings are equal except for the retry bounds, which alone
	 * may change while the process runs.
	 * @param other the settings to compare
	 * @return {@code true} if nothing else differs
	 */
	public boolean equalsExceptRetryBounds(DirectSettings other) {
		return equals(new DirectSettings(other.instance, other.dataCentre, other.regions, other.callers,
				other.readiness, other.operators, other.gossipAddress, other.seeds, other.store, other.follow,
				other.retryWindowMillis, this.retryRatio, this.retryExtra, this.retryExtraShare, other.coldBound,
				other.drainMillis, other.graceMillis, other.acceptAllMillis, other.maxStartWaitMillis, other.mechanisms,
				other.waiting, other.maxDelayShare));
	}

	private static Map<String, String> regions(DocumentObject root) {
		return root.objects("dataCentres")
			.stream()
			.collect(Collectors.toMap((d) -> d.text("name"), (d) -> d.text("region"), (a, b) -> b));
	}

	private static ColdRateLimit coldBound(DocumentObject root) {
		if (!root.has("coldTargets")) {
			return new ColdRateLimit(1, 0);
		}
		DocumentObject cold = root.object("coldTargets");
		return new ColdRateLimit(cold.number("overage", 0, MAX_LIMIT, 1), cold.number("slack", 0, MAX_LIMIT, 0));
	}

	private static OptionalLong drainMillis(DocumentObject root) {
		return root.has("drainMillis") ? OptionalLong.of(root.integer("drainMillis", 0, ONE_MINUTE, 0))
				: OptionalLong.empty();
	}

	private static OptionalDouble maxDelayShare(DocumentObject root) {
		if (!root.has("ingress")) {
			return OptionalDouble.empty();
		}
		return OptionalDouble
			.of(root.object("ingress").number("maxDelayShare", MIN_DELAY_SHARE, 1, DEFAULT_DELAY_SHARE));
	}

	private static long millis(double seconds) {
		return Math.round(seconds * MILLIS_PER_SECOND);
	}

}
