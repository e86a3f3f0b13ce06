package dev.laneworks.core.backpressure;

import java.util.HashMap;
import java.util.Map;

import dev.laneworks.core.directory.TargetRun;

/**
 * Leaves targets alone that turned a request of this entry away and asked for rest.
 * <p>
 * The rest is for the entry that was told; others may find the target with room. It goes
 * on while the target is not listed, which may be back before its end. Not thread-safe.
 */
final class TargetRests {

	/** The longest rest that is believed, in milliseconds. */
	private static final long MOST_MILLIS = 3_600_000;

	/**
	 * The generations that may go back to a target within one rest, because they can go
	 * on nowhere else; a target bears that much of an entry it asked for rest.
	 */
	private static final int RETURNS = 1;

	private final Map<TargetRun, Rest> byRun = new HashMap<>();

	/**
	 * Return whether a rest can be meant.
	 * @param millis its length in milliseconds
	 * @return {@code false} if it is negative or absurdly long
	 */
	static boolean canBe(long millis) {
		return millis >= 0 && millis <= MOST_MILLIS;
	}

	/**
	 * Take that a target asks for rest; the rest that ends later holds.
	 * @param target the run of the target
	 * @param millis the length of the rest in milliseconds, which can be meant
	 * @param now the time in milliseconds
	 */
	void asked(TargetRun target, long millis, long now) {
		forgetOver(now);
		Rest rest = this.byRun.computeIfAbsent(target, (run) -> new Rest());
		rest.until = Math.max(rest.until, now + millis);
	}

	/**
	 * Return for how long a target wants nothing from this entry.
	 * @param target the run of the target
	 * @param now the time in milliseconds
	 * @return milliseconds; 0 if it does not rest
	 */
	long leftMillis(TargetRun target, long now) {
		Rest rest = this.byRun.get(target);
		return (rest != null) ? Math.max(0, rest.until - now) : 0;
	}

	/**
	 * Return whether a generation may go back to a target that it has been at.
	 * @param target the run of the target
	 * @param now the time in milliseconds
	 * @return {@code false} if it rests, and others went back there within its rest
	 */
	boolean takesReturn(TargetRun target, long now) {
		return leftMillis(target, now) == 0 || this.byRun.get(target).returns < RETURNS;
	}

	// Records that a request is sent to a target all the same.
	void sent(TargetRun target, long now) {
		if (leftMillis(target, now) > 0) {
			this.byRun.get(target).returns++;
		}
	}

	boolean isEmpty() {
		return this.byRun.isEmpty();
	}

	// How many targets rest.
	int count(long now) {
		forgetOver(now);
		return this.byRun.size();
	}

	private void forgetOver(long now) {
		this.byRun.values().removeIf((r) -> r.until <= now);
	}

	private static final class Rest {

		private long until;

		private int returns;

	}

}
