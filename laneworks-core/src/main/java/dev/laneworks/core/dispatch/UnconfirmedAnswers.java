package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongConsumer;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.time.Timers;

/**
 * Answers that ended with their connection, held back until a connection to their target
 * shows whether it crashed.
 * <p>
 * The operating system closes the connections of a crashed process as a process does that
 * has written a complete answer without a length.
 */
final class UnconfirmedAnswers {

	/**
	 * The longest wait, in milliseconds. A target that does not answer within it has
	 * closed its connection regularly just before, so that it is more likely busy than
	 * gone.
	 */
	static final long MAX_WAIT_MILLIS = 250;

	private final List<UnconfirmedAnswer> waiting = new ArrayList<>();

	private final DispatchOutputs outputs;

	private final Timers timers;

	UnconfirmedAnswers(DispatchOutputs outputs, Timers timers) {
		this.outputs = outputs;
		this.timers = timers;
	}

	/**
	 * Hold back an answer and probe its target.
	 * @param target the target whose answer ended
	 * @param complete receives the time if the answer is to be taken for complete
	 * @param brokenOff receives the time if the target crashed
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void hold(ListedTarget target, LongConsumer complete, LongConsumer brokenOff, long now) {
		UnconfirmedAnswer answer = new UnconfirmedAnswer(target.incarnation(), complete, brokenOff);
		this.waiting.add(answer);
		this.outputs.probe(target);
		this.timers.schedule(now + MAX_WAIT_MILLIS, (t) -> {
			if (this.waiting.remove(answer)) {
				complete.accept(t);
			}
		});
	}

	void handleReachable(ListedTarget target, long now) {
		take(target).forEach((a) -> a.complete().accept(now));
	}

	void handleRefusedConnection(ListedTarget target, long now) {
		take(target).forEach((a) -> a.brokenOff().accept(now));
	}

	private List<UnconfirmedAnswer> take(ListedTarget target) {
		List<UnconfirmedAnswer> taken = this.waiting.stream()
			.filter((a) -> a.target().equals(target.incarnation()))
			.toList();
		this.waiting.removeAll(taken);
		return taken;
	}

	private record UnconfirmedAnswer(TargetIncarnation target, LongConsumer complete, LongConsumer brokenOff) {

	}

}
