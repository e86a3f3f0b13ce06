package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.LongPredicate;
import java.util.function.Predicate;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.time.Timers;

/**
 * Answers that ended with their connection, held back until the process that sent them
 * shows that it has outlived them.
 * <p>
 * The operating system closes the connections of a crashed process as a process does that
 * has written a complete answer without a length. It also accepts connections for a
 * process that is ending, and another process may take over the address.
 */
final class UnconfirmedAnswers {

	/**
	 * The delay of the first probe of an answer that a later one confirms, in
	 * milliseconds. Most crashes show by then, so that a stream resumes early.
	 */
	static final long FIRST_PROBE_MILLIS = 50;

	/** The longest wait for the result of a probe, in milliseconds. */
	static final long MAX_WAIT_MILLIS = 250;

	/**
	 * The number of probes without a result after which an answer counts as broken off.
	 * The target may answer a probe only once it has a free slot.
	 */
	private static final int MAX_PROBES = 6;

	/**
	 * The same for an answer whose call can continue elsewhere, where nothing is lost.
	 */
	private static final int MAX_PROBES_WITH_ALTERNATIVE = 2;

	/**
	 * The delay above which the end of a wait shows that this process did not run, in
	 * milliseconds. The result of a probe may then be unread.
	 */
	private static final long MAX_TIMER_DELAY_MILLIS = 20;

	private final List<UnconfirmedAnswer> waiting = new ArrayList<>();

	private final TargetProbes probes;

	private final Timers timers;

	UnconfirmedAnswers(TargetProbes probes, Timers timers) {
		this.probes = probes;
		this.timers = timers;
	}

	/**
	 * Hold back an answer and probe its target.
	 * @param call the call of the answer
	 * @param attempt the attempt whose answer ended
	 * @param settleMillis the time in milliseconds after which a probe confirms the
	 * answer, since a crashing process may close its port after its connections
	 * @param complete receives the time if the process that sent the answer lives
	 * @param brokenOff receives the time if that process has ended
	 * @param unproved receives the time if no probe shows either
	 * @param canContinue whether the call can continue elsewhere at a time
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void hold(DirectCall call, Attempt attempt, long settleMillis, LongConsumer complete, LongConsumer brokenOff,
			LongConsumer unproved, LongPredicate canContinue, long now) {
		UnconfirmedAnswer answer = new UnconfirmedAnswer(call, attempt, new HashSet<>(), complete, brokenOff, unproved,
				canContinue);
		this.waiting.add(answer);
		if (settleMillis == 0) {
			probe(answer, 1, now);
		}
		else {
			this.timers.schedule(now + FIRST_PROBE_MILLIS, (t) -> {
				if (this.waiting.contains(answer)) {
					this.probes.start(attempt.target(), t);
				}
			});
			this.timers.schedule(now + settleMillis, (t) -> probe(answer, 1, t));
		}
	}

	// The wait begins with the probe, which a pause of this process may have delayed.
	private void probe(UnconfirmedAnswer answer, int count, long now) {
		if (this.waiting.contains(answer)) {
			answer.probes().add(this.probes.identify(answer.call(), answer.attempt(), now));
			endWaitAt(now + MAX_WAIT_MILLIS, answer, count);
		}
	}

	private void endWaitAt(long due, UnconfirmedAnswer answer, int count) {
		this.timers.schedule(due, (t) -> {
			if (!this.waiting.contains(answer)) {
				return;
			}
			if (t - due > MAX_TIMER_DELAY_MILLIS) {
				endWaitAt(t + MAX_WAIT_MILLIS, answer, count);
			}
			else if (count < (answer.canContinue().test(t) ? MAX_PROBES_WITH_ALTERNATIVE : MAX_PROBES)) {
				probe(answer, count + 1, t);
			}
			else {
				this.waiting.remove(answer);
				answer.unproved().accept(t);
			}
		});
	}

	// What identifies the process of one answer does not identify that of another one,
	// which may have ended before it.
	void handleSameProcess(Probe probe, long now) {
		take((a) -> a.probes().contains(probe)).forEach((a) -> a.complete().accept(now));
	}

	void handleEndedProcess(ListedTarget target, long now) {
		take((a) -> a.attempt().target().isSameIncarnation(target)).forEach((a) -> a.brokenOff().accept(now));
	}

	private List<UnconfirmedAnswer> take(Predicate<UnconfirmedAnswer> filter) {
		List<UnconfirmedAnswer> taken = this.waiting.stream().filter(filter).toList();
		this.waiting.removeAll(taken);
		return taken;
	}

	/**
	 * Answer that ended with its connection.
	 *
	 * @param call the call of the answer
	 * @param attempt the attempt whose answer ended
	 * @param probes the probes of its process so far
	 * @param complete receives the time if the process that sent the answer lives
	 * @param brokenOff receives the time if that process has ended
	 * @param unproved receives the time if no probe shows either
	 * @param canContinue whether the call can continue elsewhere at a time
	 */
	private record UnconfirmedAnswer(DirectCall call, Attempt attempt, Set<Probe> probes, LongConsumer complete,
			LongConsumer brokenOff, LongConsumer unproved, LongPredicate canContinue) {

	}

}
