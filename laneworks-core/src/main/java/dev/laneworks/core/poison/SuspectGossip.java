package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import dev.laneworks.core.time.Timers;

/**
 * Reports suspect requests to other entries, so that each entry need not lose targets of
 * its own to find them.
 * <p>
 * Observations of this entry are sent to all entries at once and repeated soon after and
 * in the next rounds. Each round also sends all reports to new entries and to a few
 * random ones, so that every entry receives them despite lost datagrams and the end of
 * the reporting entry. Nothing is sent while no request is suspect. Not thread-safe.
 *
 * @since 0.4
 */
public final class SuspectGossip {

	/** The interval between rounds, in milliseconds. */
	static final long ROUND_MILLIS = 1_000;

	/**
	 * The number of rounds that repeat an observation to all entries; makes up for lost
	 * datagrams.
	 */
	private static final int REPEAT_ROUNDS = 2;

	/**
	 * The delay of the first repetition, in milliseconds; makes up for a lost datagram
	 * before the request is repeated at another entry.
	 */
	private static final long FIRST_REPEAT_MILLIS = 50;

	/** The number of random receivers in each round. */
	static final int RANDOM_RECEIVERS = 2;

	/**
	 * The time for which a request with a single crash is reported, in milliseconds. Most
	 * of these requests are harmless, since a crash affects all requests at the target.
	 */
	private static final long SINGLE_CRASH_MILLIS = 5_000;

	/** The most reports in one round. */
	private static final int MAX_REPORTS = 256;

	/** The most reports in one datagram, of about 120 bytes each. */
	private static final int REPORTS_PER_DATAGRAM = 64;

	private final SuspectRequests suspects;

	private final Supplier<List<String>> entries;

	private final BiConsumer<Collection<String>, List<SuspectReport>> output;

	private final Timers timers;

	private final RandomGenerator random;

	/** Observations of this entry that were not sent yet. */
	private final Set<RequestDigest> unsent = new LinkedHashSet<>();

	/** Observations that were sent, with the number of rounds that still repeat them. */
	private final Map<RequestDigest, Integer> remainingRounds = new LinkedHashMap<>();

	private Set<String> previousEntries = Set.of();

	/**
	 * Create the gossip of an entry; {@link #start} begins it.
	 * @param suspects the suspect requests
	 * @param entries supplies the addresses of all other known entries
	 * @param output sends reports to addresses, without a guarantee of delivery
	 * @param timers schedules the rounds
	 * @param random selects the random receivers
	 */
	public SuspectGossip(SuspectRequests suspects, Supplier<List<String>> entries,
			BiConsumer<Collection<String>, List<SuspectReport>> output, Timers timers, RandomGenerator random) {
		this.suspects = Objects.requireNonNull(suspects, "suspects must not be null");
		this.entries = Objects.requireNonNull(entries, "entries must not be null");
		this.output = Objects.requireNonNull(output, "output must not be null");
		this.timers = Objects.requireNonNull(timers, "timers must not be null");
		this.random = Objects.requireNonNull(random, "random must not be null");
	}

	/**
	 * Start the rounds.
	 * @param now the current time in milliseconds
	 */
	public void start(long now) {
		List<String> all = this.entries.get();
		send(all, reportsOf(this.remainingRounds.keySet(), now));
		this.remainingRounds.replaceAll((d, rounds) -> rounds - 1);
		this.remainingRounds.values().removeIf((rounds) -> rounds == 0);
		Set<String> receivers = new HashSet<>(all);
		receivers.removeAll(this.previousEntries);
		for (int i = 0; i < RANDOM_RECEIVERS && !all.isEmpty(); i++) {
			receivers.add(all.get(this.random.nextInt(all.size())));
		}
		this.previousEntries = Set.copyOf(all);
		if (!receivers.isEmpty()) {
			send(receivers, this.suspects.reports(SINGLE_CRASH_MILLIS, MAX_REPORTS, now));
		}
		this.timers.schedule(now + ROUND_MILLIS, this::start);
	}

	/**
	 * Report an observation of this entry.
	 * @param digest the digest of the request
	 * @param now the current time in milliseconds
	 */
	public void report(RequestDigest digest, long now) {
		if (this.unsent.isEmpty()) {
			this.timers.schedule(now, this::sendUnsent);
		}
		this.unsent.add(digest);
	}

	private void sendUnsent(long now) {
		Set<RequestDigest> observed = Set.copyOf(this.unsent);
		this.unsent.clear();
		send(this.entries.get(), reportsOf(observed, now));
		observed.forEach((d) -> this.remainingRounds.put(d, REPEAT_ROUNDS));
		this.timers.schedule(now + FIRST_REPEAT_MILLIS, (t) -> send(this.entries.get(), reportsOf(observed, t)));
	}

	private List<SuspectReport> reportsOf(Set<RequestDigest> digests, long now) {
		List<SuspectReport> reports = new ArrayList<>();
		digests.forEach((d) -> this.suspects.report(d, now).ifPresent(reports::add));
		return reports;
	}

	private void send(Collection<String> addresses, List<SuspectReport> reports) {
		for (int i = 0; i < reports.size() && !addresses.isEmpty(); i += REPORTS_PER_DATAGRAM) {
			this.output.accept(addresses, reports.subList(i, Math.min(reports.size(), i + REPORTS_PER_DATAGRAM)));
		}
	}

}
