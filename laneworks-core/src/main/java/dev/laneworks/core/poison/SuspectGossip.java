package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import dev.laneworks.core.time.Timers;

/**
 * Reports what this entry observed of crashes to other entries, so that each entry need
 * not lose targets of its own to find their causes.
 * <p>
 * Observations of this entry are sent to all entries at once and repeated soon after and
 * in the next rounds. Each round also sends all reports to new entries and to a few
 * random ones, so that every entry receives them despite lost datagrams and the end of
 * the reporting entry. Nothing is sent while there is nothing to report. Not thread-safe.
 *
 * @param <K> the type that identifies an observation
 * @param <R> the type of a report
 * @since 0.4
 */
public final class SuspectGossip<K, R> {

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

	/**
	 * The time for which a crash is reported that is not attributed to a part, in
	 * milliseconds; makes up for lost datagrams.
	 */
	private static final long PART_CRASH_MILLIS = 10_000;

	/** The most reports of requests in one round. */
	private static final int MAX_REPORTS = 256;

	/** The most bytes of reports in one datagram, unless a single report is larger. */
	private static final int MAX_DATAGRAM_BYTES = 7_680;

	/** The approximate size of the report of one request. */
	private static final int REQUEST_REPORT_BYTES = 120;

	/** The approximate size of a crash or of a success, without its parts. */
	private static final int PART_REPORT_BYTES = 40;

	/** The approximate size of a prompt, without its parts, and of a part. */
	private static final int PROMPT_BYTES = 12;

	private static final int PART_BYTES = 8;

	private final Source<K, R> source;

	private final Supplier<List<String>> entries;

	private final BiConsumer<Collection<String>, List<R>> output;

	private final Timers timers;

	private final RandomGenerator random;

	/** Observations of this entry that were not sent yet. */
	private final Set<K> unsent = new LinkedHashSet<>();

	/** Observations that were sent, with the number of rounds that still repeat them. */
	private final Map<K, Integer> remainingRounds = new LinkedHashMap<>();

	private Set<String> previousEntries = Set.of();

	/**
	 * Create the gossip of an entry; {@link #start} begins it.
	 * @param source creates the reports
	 * @param entries supplies the addresses of all other known entries
	 * @param output sends reports to addresses, without a guarantee of delivery
	 * @param timers schedules the rounds
	 * @param random selects the random receivers
	 */
	public SuspectGossip(Source<K, R> source, Supplier<List<String>> entries,
			BiConsumer<Collection<String>, List<R>> output, Timers timers, RandomGenerator random) {
		this.source = Objects.requireNonNull(source, "source must not be null");
		this.entries = Objects.requireNonNull(entries, "entries must not be null");
		this.output = Objects.requireNonNull(output, "output must not be null");
		this.timers = Objects.requireNonNull(timers, "timers must not be null");
		this.random = Objects.requireNonNull(random, "random must not be null");
	}

	/**
	 * Return a source of reports about suspect requests.
	 * @param suspects the suspect requests
	 * @return the source
	 */
	public static Source<RequestDigest, SuspectReport> requestReports(SuspectRequests suspects) {
		return new Source<>() {

			@Override
			public Optional<SuspectReport> report(RequestDigest key, long now) {
				return suspects.report(key, now);
			}

			@Override
			public List<SuspectReport> reports(long now) {
				return suspects.reports(SINGLE_CRASH_MILLIS, MAX_REPORTS, now);
			}

			@Override
			public int bytes(SuspectReport report) {
				return REQUEST_REPORT_BYTES;
			}

		};
	}

	/**
	 * Return a source of reports about prompt parts.
	 * @param suspects the suspect parts
	 * @return the source
	 */
	public static Source<TimedObservation, PartObservation> partReports(SuspectParts suspects) {
		return new Source<>() {

			@Override
			public Optional<PartObservation> report(TimedObservation key, long now) {
				return Optional.of(key.observation().olderBy(Math.max(0, now - key.at())));
			}

			@Override
			public List<PartObservation> reports(long now) {
				return suspects.observations(PART_CRASH_MILLIS, now);
			}

			@Override
			public int bytes(PartObservation report) {
				return (report instanceof PartObservation.Crash crash) ? PART_REPORT_BYTES
						+ crash.suspects().stream().mapToInt((p) -> PROMPT_BYTES + PART_BYTES * p.parts().size()).sum()
						: PART_REPORT_BYTES;
			}

		};
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
			send(receivers, this.source.reports(now));
		}
		this.timers.schedule(now + ROUND_MILLIS, this::start);
	}

	/**
	 * Report an observation of this entry.
	 * @param key identifies the observation
	 * @param now the current time in milliseconds
	 */
	public void report(K key, long now) {
		if (this.unsent.isEmpty()) {
			this.timers.schedule(now, this::sendUnsent);
		}
		this.unsent.add(key);
	}

	private void sendUnsent(long now) {
		Set<K> observed = Set.copyOf(this.unsent);
		this.unsent.clear();
		send(this.entries.get(), reportsOf(observed, now));
		observed.forEach((d) -> this.remainingRounds.put(d, REPEAT_ROUNDS));
		this.timers.schedule(now + FIRST_REPEAT_MILLIS, (t) -> send(this.entries.get(), reportsOf(observed, t)));
	}

	private List<R> reportsOf(Set<K> keys, long now) {
		List<R> reports = new ArrayList<>();
		keys.forEach((k) -> this.source.report(k, now).ifPresent(reports::add));
		return reports;
	}

	private void send(Collection<String> addresses, List<R> reports) {
		if (addresses.isEmpty()) {
			return;
		}
		List<R> datagram = new ArrayList<>();
		int bytes = 0;
		for (R report : reports) {
			int more = this.source.bytes(report);
			if (!datagram.isEmpty() && bytes + more > MAX_DATAGRAM_BYTES) {
				this.output.accept(addresses, List.copyOf(datagram));
				datagram.clear();
				bytes = 0;
			}
			datagram.add(report);
			bytes += more;
		}
		if (!datagram.isEmpty()) {
			this.output.accept(addresses, datagram);
		}
	}

	/**
	 * Source of reports.
	 *
	 * @param <K> the type that identifies an observation
	 * @param <R> the type of a report
	 */
	public interface Source<K, R> {

		/**
		 * Create the report of one observation.
		 * @param key identifies the observation
		 * @param now the current time in milliseconds
		 * @return the report; empty if there is none any more
		 */
		Optional<R> report(K key, long now);

		/**
		 * Create the reports for entries that may have missed them.
		 * @param now the current time in milliseconds
		 * @return the reports
		 */
		List<R> reports(long now);

		/**
		 * Estimate the size of a report.
		 * @param report the report
		 * @return the size in bytes
		 */
		int bytes(R report);

	}

	/**
	 * Observation about prompt parts and the time for which its age is stated.
	 *
	 * @param observation the observation
	 * @param at the time in milliseconds
	 */
	public record TimedObservation(PartObservation observation, long at) {

	}

}
