package dev.laneworks.core.mechanism;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Optional mechanism of an entry, which can be disabled in the settings.
 *
 * @since 0.2
 */
public enum Mechanism {

	/** Live copies of KV caches that engines update while a generation runs. */
	RUNNING_COPIES,

	/** Standby copies that are created on demand and updated periodically. */
	STANDBY_COPIES,

	/** Copies that are started when an engine's reclaim notice is received. */
	COPIES_AT_NOTICE,

	/** Coordination by which entries copy from the same engine one at a time. */
	COPY_TURNS,

	/** Gossip of load updates between entries. */
	ENTRY_NEWS,

	/** One watcher of the platform's store for several entries. */
	SHARED_READING,

	/**
	 * Direct queries to engines whether they are draining while the store is unavailable.
	 */
	LEAVING_INQUIRY,

	/** Preference for targets of the same data centre. */
	NEAR_TARGETS,

	/** Outlier ejection of targets that answer worse than their peers. */
	EJECTION,

	/** Selection of the targets of plain services by their response times. */
	LEARNED_SPEED,

	/**
	 * Choice of the data centre by the expected waits where targets report their speed.
	 */
	WAIT_BASED_LOCALITY,

	/** Inclusion of the retries of other entries in the retry budget. */
	SHARED_BUDGET,

	/** Distribution of new generations over engines of about equal suitability. */
	SPREAD_PLACING,

	/** Immediate refusal of generations that no engine would start in time. */
	ENGINE_ADMISSION,

	/** Connection limits adapted to the time that connections take. */
	LEARNED_CONNECT_LIMIT,

	/** Quarantine of requests during whose execution targets crashed. */
	REQUEST_QUARANTINE;

	/**
	 * Find a mechanism by its label.
	 * @param label the label as used in settings
	 * @return the mechanism, or empty if the label is unknown
	 */
	public static Optional<Mechanism> find(String label) {
		return Arrays.stream(values()).filter((m) -> m.label().equals(label)).findFirst();
	}

	/**
	 * Return the label of the mechanism in settings.
	 * @return the lower-case name with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
