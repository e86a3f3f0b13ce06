package dev.laneworks.entry.direct;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import dev.laneworks.core.dispatch.ColdBound;
import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.follow.FollowSettings;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.runtime.program.Addresses;

/**
 * The settings of an entry that serves targets without sidecars.
 *
 * @param instance the instance's name
 * @param dataCentre the data centre that it is in
 * @param regions the region of each data centre
 * @param callers where callers connect
 * @param readiness where the platform asks for readiness
 * @param operators where operators and scrapers connect
 * @param news where other entries are heard
 * @param seeds addresses of machines on which entries may run, {@code IP:PORT}; their
 * port is not used, since entries hear news on one port everywhere
 * @param store the address of the platform's store
 * @param follow how the store is followed
 * @param retryWindowMillis the window in which repeated sendings are counted
 * @param retryRatio the repeated sendings that the fleet may make for each request
 * @param retryExtra the repeated sendings that the fleet may make besides
 * @param retryExtraShare the part of them that all entries together spend, from 0 to 1
 * @param coldBound how far the fleet may go beyond what a cold target bears
 * @param graceMillis the time from the order to stop to the end of the process
 * @param takeAllMillis how long after the order to stop all requests are taken; later
 * ones only where the time left is enough for them
 * @param startHoldMillis how long requests that come during the start wait unread for the
 * plan at the most
 * @param mechanisms what is used of the mechanisms that can be switched off
 * @since 0.2
 */
public record DirectSettings(String instance, String dataCentre, Map<String, String> regions, InetSocketAddress callers,
		InetSocketAddress readiness, InetSocketAddress operators, InetSocketAddress news, List<String> seeds,
		InetSocketAddress store, FollowSettings follow, long retryWindowMillis, double retryRatio, double retryExtra,
		double retryExtraShare, ColdBound coldBound, long graceMillis, long takeAllMillis, long startHoldMillis,
		Mechanisms mechanisms) {

	/**
	 * How long the store may hold a watch; see {@link FollowSettings}.
	 */
	private static final long WAIT_MILLIS = 4_000;

	private static final long ANSWER_MILLIS = 700;

	private static final long GAP_MILLIS = 60;

	private static final long ONE_MINUTE = 60_000;

	private static final double MIN_SECONDS = 0.1;

	private static final double MAX_SECONDS = 3_600;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * The balancer goes on for two seconds, and a request is taken that was on its way
	 * then.
	 */
	private static final long TAKE_ALL_MILLIS = 2_600;

	/**
	 * Two thirds of the second after which callers give up on an entry that reads
	 * nothing; a start takes 0.4 to 1.2 s from listening to the plan.
	 */
	private static final long START_HOLD_MILLIS = 650;

	private static final int MAX_REPEATS = 1_000_000;

	/**
	 * The part of the fixed number of repeated sendings that all entries together spend;
	 * the rest is for entries that die and start anew with an empty history.
	 */
	private static final double EXTRA_SHARE = 0.6;

	/**
	 * The entries that there are taken to be at the least, since one that is cut off
	 * knows of no other.
	 */
	private static final int FEWEST_ENTRIES = 5;

	/**
	 * Read the settings.
	 * @param root the document
	 * @return the settings
	 */
	public static DirectSettings read(DocumentObject root) {
		DocumentObject retries = root.object("retries");
		DocumentObject store = root.object("store");
		FollowSettings follow = new FollowSettings(store.integer("waitMillis", 1, ONE_MINUTE, WAIT_MILLIS),
				store.integer("answerMillis", 1, ONE_MINUTE, ANSWER_MILLIS),
				store.integer("gapMillis", 0, ONE_MINUTE, GAP_MILLIS));
		return new DirectSettings(root.text("instance"), root.text("dataCentre"), regions(root),
				Addresses.address(root, "callers"), Addresses.address(root, "readiness"),
				Addresses.address(root, "operators"), Addresses.address(root, "news"), root.texts("seeds"),
				Addresses.address(store, "address"), follow,
				millis(retries.number("windowSeconds", MIN_SECONDS, MAX_SECONDS, 10)),
				retries.number("ratio", 0, 1, 0.1), retries.number("extra", 0, MAX_REPEATS, 0),
				retries.number("extraShare", 0, 1, EXTRA_SHARE), coldBound(root),
				millis(root.number("graceSeconds", MIN_SECONDS, MAX_SECONDS, 8)),
				root.integer("takeAllMillis", 0, ONE_MINUTE, TAKE_ALL_MILLIS),
				root.integer("startHoldMillis", 0, ONE_MINUTE, START_HOLD_MILLIS), Mechanisms.read(root, "off"));
	}

	/**
	 * Return this entry's part of the repeated sendings that the fleet may make besides a
	 * share of its requests.
	 * @param entries the entries known, this one included
	 * @return the sendings in each window
	 */
	public double ownRetryExtra(int entries) {
		return this.retryExtra * this.retryExtraShare / Math.max(FEWEST_ENTRIES, entries);
	}

	/**
	 * Return whether other settings differ from these in nothing but the bounds on
	 * repeated sendings, which alone may change while the process runs.
	 * @param other the other settings
	 * @return whether nothing else differs
	 */
	public boolean equalsButForRetryBounds(DirectSettings other) {
		return equals(new DirectSettings(other.instance, other.dataCentre, other.regions, other.callers,
				other.readiness, other.operators, other.news, other.seeds, other.store, other.follow,
				other.retryWindowMillis, this.retryRatio, this.retryExtra, this.retryExtraShare, other.coldBound,
				other.graceMillis, other.takeAllMillis, other.startHoldMillis, other.mechanisms));
	}

	private static Map<String, String> regions(DocumentObject root) {
		return root.objects("dataCentres")
			.stream()
			.collect(Collectors.toMap((d) -> d.text("name"), (d) -> d.text("region"), (a, b) -> b));
	}

	private static ColdBound coldBound(DocumentObject root) {
		if (!root.has("coldTargets")) {
			return new ColdBound(1, 0);
		}
		DocumentObject cold = root.object("coldTargets");
		return new ColdBound(cold.number("overage", 0, MAX_REPEATS, 1), cold.number("slack", 0, MAX_REPEATS, 0));
	}

	private static long millis(double seconds) {
		return Math.round(seconds * MILLIS_PER_SECOND);
	}

}
