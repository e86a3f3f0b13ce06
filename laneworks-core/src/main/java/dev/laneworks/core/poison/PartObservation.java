package dev.laneworks.core.poison;

import java.util.List;
import java.util.Objects;

import dev.laneworks.core.directory.TargetIncarnation;

/**
 * Observation about prompt parts that one process sends to others. Observations may
 * arrive more than once and in any order.
 *
 * @since 0.8
 */
public sealed interface PartObservation {

	/**
	 * Return the time since the observed event.
	 * @return the age in milliseconds, not negative
	 */
	long ageMillis();

	/**
	 * Return the same observation at a later time.
	 * @param millis the time since, in milliseconds
	 * @return the observation with a higher age
	 */
	PartObservation olderBy(long millis);

	private static void checkAge(long ageMillis) {
		if (ageMillis < 0) {
			throw new IllegalArgumentException("ageMillis must not be negative");
		}
	}

	/**
	 * Crash of a target.
	 *
	 * @param incarnation the incarnation of the target
	 * @param ageMillis the time since the crash, in milliseconds
	 * @param suspects the prompts of the requests that may have caused it
	 */
	record Crash(TargetIncarnation incarnation, long ageMillis,
			List<PromptPartDigests> suspects) implements PartObservation {

		public Crash {
			Objects.requireNonNull(incarnation, "incarnation must not be null");
			suspects = List.copyOf(suspects);
			checkAge(ageMillis);
		}

		@Override
		public PartObservation olderBy(long millis) {
			return new Crash(this.incarnation, this.ageMillis + millis, this.suspects);
		}

	}

	/**
	 * Success on a part that crashed targets before, which refutes it as their cause.
	 *
	 * @param account the hash of the client account of the successful request
	 * @param part the digest of the part
	 * @param ageMillis the time since the target began to answer, in milliseconds
	 */
	record Success(long account, long part, long ageMillis) implements PartObservation {

		public Success {
			checkAge(ageMillis);
		}

		@Override
		public PartObservation olderBy(long millis) {
			return new Success(this.account, this.part, this.ageMillis + millis);
		}

	}

}
