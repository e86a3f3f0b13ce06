package dev.laneworks.core.dispatch;

import java.util.OptionalLong;

/**
 * Tells which generations are refused at once because no engine would begin them in time.
 * <p>
 * It answers a load under which the memory of all engines is promised beyond what there
 * is. What goes to an engine then waits there: it can't be placed elsewhere any more, is
 * lost when the engine leaves, and is begun even where its caller has left meanwhile. The
 * wait is worked out from how far the engine's memory is promised beyond its end and from
 * how long a generation usually holds its part of it. Not thread-safe.
 */
final class EngineAdmission {

	/**
	 * How long a generation holds its memory until one was seen, in milliseconds.
	 */
	private static final double FIRST_LIFE_MILLIS = 9_000;

	/**
	 * How long a short one holds it until one was seen, in milliseconds: the time until
	 * its first event and three events.
	 */
	private static final double FIRST_SHORT_LIFE_MILLIS = 1_500;

	/** The weight of the newest generation in the usual time. */
	private static final double NEWEST_WEIGHT = 0.05;

	/**
	 * Up to how many goals a generation of the highest rank may wait for memory. Sent all
	 * the same, it would be late, and so would all behind it.
	 */
	private static final double MOST_GOALS = 1;

	/** The bound of the lower ranks, so that the highest one fares no worse than they. */
	private static final double LOWER_RANK_GOALS = 0.6;

	/** The largest part of the caller's time that may pass before the first event. */
	private static final double MOST_OF_PATIENCE = 0.6;

	private double lifeMillis = FIRST_LIFE_MILLIS;

	private double shortLifeMillis = FIRST_SHORT_LIFE_MILLIS;

	/**
	 * Take how long a generation took from its opening to its end.
	 * @param work what it asked for
	 * @param millis the time in milliseconds
	 */
	void took(EngineWork work, long millis) {
		if (work.isShort()) {
			this.shortLifeMillis += NEWEST_WEIGHT * (millis - this.shortLifeMillis);
		}
		else {
			this.lifeMillis += NEWEST_WEIGHT * (millis - this.lifeMillis);
		}
	}

	/**
	 * Return how long it takes until the room that a generation needs is set free by
	 * others that end.
	 * @param work what it asks for
	 * @param memoryTokens the memory that is set free within the life of a long
	 * generation, in tokens
	 * @return milliseconds
	 */
	double freedInMillis(EngineWork work, double memoryTokens) {
		double life = work.isShort() ? this.shortLifeMillis : this.lifeMillis;
		return work.heldTokens(0) * life / memoryTokens;
	}

	/**
	 * Return for how long there will be no room for a generation that is refused.
	 * @param fullness how full the best engine's memory would be with it
	 * @param rank its rank, 0 being the highest
	 * @param goalMillis the goal for its first event, in milliseconds
	 * @param leftMillis the time that its caller has left, in milliseconds
	 * @return after how many milliseconds there is likely to be room, or empty if the
	 * generation is to be sent
	 */
	OptionalLong waitMillis(double fullness, int rank, long goalMillis, long leftMillis) {
		double wait = (fullness - 1) * this.lifeMillis;
		double bound = Math.min(((rank == 0) ? MOST_GOALS : LOWER_RANK_GOALS) * goalMillis,
				MOST_OF_PATIENCE * leftMillis);
		return (wait > bound) ? OptionalLong.of(Math.round(wait)) : OptionalLong.empty();
	}

}
