package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * Crashes of targets, indexed by the prompt parts that they involved.
 * <p>
 * A crash counts for a part unless a target later began a successful answer on the part.
 * Changes cost time in proportion to the parts of one crash, not of all of them.
 */
final class CrashesByPart {

	/** The same in every process, so that all attribute crashes alike. */
	private static final Comparator<PartKey> ORDER = Comparator.comparingLong(PartKey::account)
		.thenComparingLong(PartKey::part);

	private final int frequentCrashes;

	private final ToLongFunction<PartKey> latestSuccess;

	private final Map<PartKey, PartCrashes> byPart = new HashMap<>();

	/** The parts that at least {@link #frequentCrashes} crashes involved. */
	private final SortedMap<PartKey, PartCrashes> frequent = new TreeMap<>(ORDER);

	private int entries;

	/**
	 * Create an empty index.
	 * @param frequentCrashes the number of crashes from which a part is returned by
	 * {@link #frequentParts()}
	 * @param latestSuccess returns the time of the latest known success on a part in
	 * milliseconds, or {@link Long#MIN_VALUE}; a success may become known before the
	 * crash that it refutes
	 */
	CrashesByPart(int frequentCrashes, ToLongFunction<PartKey> latestSuccess) {
		this.frequentCrashes = frequentCrashes;
		this.latestSuccess = latestSuccess;
	}

	/**
	 * Return the size of the index, to which its memory is proportional.
	 * @return the number of pairs of a part and a crash
	 */
	int entries() {
		return this.entries;
	}

	/**
	 * Add a crash, or what became known of it since it was added.
	 * @param crash the crash
	 */
	void add(CrashedTarget crash) {
		forEachPart(crash, (key) -> {
			PartCrashes crashes = this.byPart.computeIfAbsent(key, (k) -> new PartCrashes());
			if (crashes.add(crash)) {
				this.entries++;
				if (crashes.involved().size() == this.frequentCrashes) {
					this.frequent.put(key, crashes);
				}
			}
			long success = this.latestSuccess.applyAsLong(key);
			if (success >= crash.at()) {
				crashes.recordSuccess(success);
			}
		});
	}

	void remove(CrashedTarget crash) {
		forEachPart(crash, (key) -> {
			PartCrashes crashes = this.byPart.get(key);
			if (crashes == null || !crashes.remove(crash)) {
				return;
			}
			this.entries--;
			if (crashes.involved().size() < this.frequentCrashes) {
				this.frequent.remove(key);
			}
			if (crashes.involved().isEmpty()) {
				this.byPart.remove(key);
			}
		});
	}

	private static void forEachPart(CrashedTarget crash, Consumer<PartKey> action) {
		for (PromptPartDigests suspect : crash.suspects()) {
			for (long part : suspect.parts()) {
				PartKey key = new PartKey(suspect.account(), part);
				action.accept(key);
				action.accept(key.forAllAccounts());
			}
		}
	}

	/**
	 * Record a success on a part.
	 * @param key the part, as used by one account or by all
	 * @param at the time at which the target began the successful answer, in milliseconds
	 */
	void recordSuccess(PartKey key, long at) {
		PartCrashes crashes = this.byPart.get(key);
		if (crashes != null) {
			crashes.recordSuccess(at);
		}
	}

	/**
	 * Determine whether a success refutes a part as the cause of a crash that counts.
	 * @param key the part, as used by one account or by all
	 * @param at the time at which the target began the successful answer, in milliseconds
	 * @return {@code true} if crashes before that time count for the part
	 */
	boolean isRefutedBySuccess(PartKey key, long at) {
		List<CrashedTarget> counted = counted(key);
		return !counted.isEmpty() && counted.get(0).at() <= at;
	}

	/**
	 * Determine whether crashes count for a part.
	 * @param key the part, as used by one account or by all
	 * @return {@code false} if all its crashes are refuted, or if there are none
	 */
	boolean isSuspect(PartKey key) {
		return !counted(key).isEmpty();
	}

	private List<CrashedTarget> counted(PartKey key) {
		PartCrashes crashes = this.byPart.get(key);
		return (crashes != null) ? crashes.counted() : List.of();
	}

	/**
	 * Return the crashes that count for each part that is involved often.
	 * @return the crashes in ascending order of time, by part
	 */
	SortedMap<PartKey, List<CrashedTarget>> frequentParts() {
		SortedMap<PartKey, List<CrashedTarget>> parts = new TreeMap<>(ORDER);
		this.frequent.forEach((key, crashes) -> parts.put(key, crashes.counted()));
		return parts;
	}

	/**
	 * Return the crashes that involved all parts of a group, whether they count or not.
	 * @param group the parts
	 * @return the crashes
	 */
	Set<CrashedTarget> crashesOf(SuspectPartGroup group) {
		Iterator<PartKey> keys = group.parts().stream().map((p) -> new PartKey(group.account(), p)).iterator();
		Set<CrashedTarget> common = new HashSet<>(involved(keys.next()));
		while (keys.hasNext()) {
			common.retainAll(new HashSet<>(involved(keys.next())));
		}
		return common;
	}

	private List<CrashedTarget> involved(PartKey key) {
		PartCrashes crashes = this.byPart.get(key);
		return (crashes != null) ? crashes.involved() : List.of();
	}

	/**
	 * Crashes that involved one part.
	 */
	private static final class PartCrashes {

		private final List<CrashedTarget> involved = new ArrayList<>(1);

		private long latestSuccess = Long.MIN_VALUE;

		/** The crashes after the latest success; {@code null} if it is out of date. */
		private List<CrashedTarget> counted;

		private List<CrashedTarget> involved() {
			return this.involved;
		}

		// The time of a known crash may have changed.
		private boolean add(CrashedTarget crash) {
			this.counted = null;
			return !this.involved.contains(crash) && this.involved.add(crash);
		}

		private boolean remove(CrashedTarget crash) {
			this.counted = null;
			return this.involved.remove(crash);
		}

		private void recordSuccess(long at) {
			this.counted = null;
			this.latestSuccess = Math.max(this.latestSuccess, at);
		}

		private List<CrashedTarget> counted() {
			if (this.counted == null) {
				this.counted = this.involved.stream()
					.filter((c) -> c.at() > this.latestSuccess)
					.sorted(Comparator.comparingLong(CrashedTarget::at))
					.collect(Collectors.toUnmodifiableList());
			}
			return this.counted;
		}

	}

}
