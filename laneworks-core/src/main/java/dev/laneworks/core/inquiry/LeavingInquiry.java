package dev.laneworks.core.inquiry;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.time.Timers;

/**
 * Asks engines whether they are leaving, while the list of targets can't be read.
 * <p>
 * A notice that is given meanwhile is heard by nobody otherwise, and generations end with
 * their engines. Each engine is asked by one process, which tells the others. An engine
 * that does not answer says nothing, and one that does not say when it leaves waits for
 * the list itself: it serves on until the list has taken its word, and generations moved
 * away from several at once would crowd the other engines. Pure code over explicit time;
 * not thread-safe.
 *
 * @since 0.2
 */
public final class LeavingInquiry {

	/**
	 * How often an engine is asked, in milliseconds: a fifth of a short notice.
	 */
	private static final long ASK_MILLIS = 300;

	private final LongPredicate isListSilent;

	private final Predicate<ListedTarget> isOurs;

	private final Supplier<List<ListedTarget>> engines;

	private final InquiryOutputs outputs;

	private final Timers timers;

	/** The runs of engines whose answer is awaited. */
	private final Set<TargetRun> asked = new HashSet<>();

	/**
	 * Create an inquiry; {@link #start} begins it.
	 * @param isListSilent tells whether the list can't be read at a time, in milliseconds
	 * @param isOurs tells whether it is up to this process to ask an engine
	 * @param engines gives the engines that take work
	 * @param outputs asks, and takes what was heard
	 * @param timers what is due later
	 */
	public LeavingInquiry(LongPredicate isListSilent, Predicate<ListedTarget> isOurs,
			Supplier<List<ListedTarget>> engines, InquiryOutputs outputs, Timers timers) {
		this.isListSilent = Objects.requireNonNull(isListSilent, "isListSilent must not be null");
		this.isOurs = Objects.requireNonNull(isOurs, "isOurs must not be null");
		this.engines = Objects.requireNonNull(engines, "engines must not be null");
		this.outputs = Objects.requireNonNull(outputs, "outputs must not be null");
		this.timers = Objects.requireNonNull(timers, "timers must not be null");
	}

	/**
	 * Look from now on whether engines are to be asked.
	 * @param now the time in milliseconds
	 */
	public void start(long now) {
		if (this.isListSilent.test(now)) {
			this.engines.get().stream().filter(this.isOurs).forEach(this::ask);
		}
		this.timers.at(now + ASK_MILLIS, this::start);
	}

	// An engine whose answer is awaited isn't asked again.
	private void ask(ListedTarget engine) {
		if (this.asked.add(engine.run())) {
			this.outputs.ask(engine);
		}
	}

	/**
	 * Take an engine's answer. It is heard also where the list is back meanwhile, since
	 * it is the engine's own word.
	 * @param engine the engine
	 * @param answer the answer
	 * @param now the time in milliseconds
	 */
	public void answered(ListedTarget engine, EngineAnswer answer, long now) {
		this.asked.remove(engine.run());
		switch (answer.outcome()) {
			case LEAVES -> takeLeaving(engine, answer, now);
			case REFUSED -> this.outputs.refused(engine, now);
			case STAYS, UNKNOWN -> {
			}
		}
	}

	// The engine may have started again since it was listed, and another may have got its
	// address: neither speaks for the run that was asked.
	private static boolean isOfRunAsked(ListedTarget engine, EngineAnswer answer) {
		return answer.startMillis().isEmpty() || engine.startMillis().isEmpty()
				|| answer.startMillis().equals(engine.startMillis());
	}

	private void takeLeaving(ListedTarget engine, EngineAnswer answer, long now) {
		if (answer.leavesMillis().isPresent() && isOfRunAsked(engine, answer)) {
			this.outputs.leaves(engine, answer, now);
		}
	}

}
