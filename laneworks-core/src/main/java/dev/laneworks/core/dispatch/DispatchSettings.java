package dev.laneworks.core.dispatch;

import dev.laneworks.core.mechanism.Mechanisms;

/**
 * The times by which a {@link Dispatcher} decides.
 *
 * @param connectMillis the least time that a connection is given to come up before
 * another target is tried; more where connections take longer. Links between data centres
 * take a few milliseconds, and a dead target says nothing
 * @param maxAttempts the most targets that one request is sent to
 * @param maxConnections the most targets that a connection is tried to for one request;
 * many where the list is old and its targets have been replaced
 * @param answerSlackMillis how long after its deadline a target's own answer is waited
 * for
 * @param comeBackMillis when a refused caller may come back
 * @param silenceGoals after how many response-time goals without an answer a target
 * counts as silent
 * @param timeShareToTryAgain what part of the response-time goal must be left for another
 * try, as its divisor
 * @param mechanisms what is used of the mechanisms that can be switched off
 * @since 0.2
 */
public record DispatchSettings(long connectMillis, int maxAttempts, int maxConnections, long answerSlackMillis,
		long comeBackMillis, double silenceGoals, int timeShareToTryAgain, Mechanisms mechanisms) {

	/**
	 * Return the settings in use.
	 * @param mechanisms the mechanisms that are used
	 * @return the settings
	 */
	public static DispatchSettings defaults(Mechanisms mechanisms) {
		return new DispatchSettings(250, 4, 12, 40, 400, 2.5, 4, mechanisms);
	}

}
