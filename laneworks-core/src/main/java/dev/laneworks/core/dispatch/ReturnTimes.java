package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells callers of refused generations when to come back, one after the other as room
 * becomes free.
 * <p>
 * It answers a load under which the memory of all engines is promised beyond what there
 * is and many callers are refused within seconds. Told only when the room in their way is
 * gone, all of them are told about the same time, come back together and are refused
 * again. Here each one that is refused books a part of the room that running generations
 * set free, and the next one is told the time at which that part is behind it. Each rank
 * of a service has a queue of its own, so that the highest does not wait for lower ones.
 * Nothing is reserved: who comes first at that time is served first. Not thread-safe.
 */
final class ReturnTimes {

	/**
	 * The part of the room set free that callers are told to come back to; new ones take
	 * the rest. A larger part has more callers refused twice, a smaller one lets them
	 * wait for room that is there.
	 */
	private static final double PART_FOR_RETURNS = 0.25;

	/**
	 * The part of the time left to a caller up to which it waits when told to, by the
	 * protocol of the platform. One whose turn is later books nothing.
	 */
	private static final double HEEDED_PART = 1.0 / 3;

	/** When the next caller of a queue may come back, in milliseconds. */
	private final Map<Queue, Double> nextByQueue = new HashMap<>();

	/**
	 * Return when a caller that is refused may come back, and book room for it.
	 * <p>
	 * The times told rest on other entries refusing as many as this one, which is not
	 * known: none is told to wait longer for them than it would.
	 * @param service the service that its generation asks for
	 * @param rank the rank of its generation, 0 being the highest
	 * @param waitMillis how long there will be no room for it, in milliseconds
	 * @param freedInMillis how long it takes until the room that it needs is set free,
	 * counting this process's part of what all engines set free, in milliseconds
	 * @param patienceMillis the time that the caller has left, in milliseconds
	 * @param now the time in milliseconds
	 * @return after how many milliseconds it may come back, no less than the wait
	 */
	long book(String service, int rank, long waitMillis, double freedInMillis, long patienceMillis, long now) {
		Queue queue = new Queue(service, rank);
		double at = Math.max(now + waitMillis, this.nextByQueue.getOrDefault(queue, 0.0));
		double heeded = HEEDED_PART * patienceMillis;
		if (at - now > heeded) {
			return Math.max(waitMillis, Math.round(heeded));
		}
		this.nextByQueue.put(queue, at + freedInMillis / PART_FOR_RETURNS);
		return Math.round(at - now);
	}

	private record Queue(String service, int rank) {

	}

}
