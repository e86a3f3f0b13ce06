package dev.laneworks.core.inquiry;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.time.Timers;

/**
 * Queries engines directly whether they are draining, while the list of targets is
 * unavailable.
 * <p>
 * Without the list, a reclaim notice would not be detected and generations would end with
 * their engines. Each engine is queried by one process, which notifies the others. A
 * failed query has no effect. An engine that does not report when it stops continues to
 * serve until the list is updated; its generations are not moved, since moving them from
 * several such engines at once would overload the others. Time is passed as a parameter.
 * Not thread-safe.
 *
 * @since 0.2
 */
public final class DrainingQuery {

	/** Shorter than the shortest reclaim notice, so that moves can still complete. */
	private static final long QUERY_INTERVAL_MILLIS = 300;

	private final LongPredicate isListUnavailable;

	private final Predicate<ListedTarget> isResponsible;

	private final Supplier<List<ListedTarget>> engines;

	private final DrainingQueryOutputs outputs;

	private final Timers timers;

	/** Incarnations with an unanswered query. */
	private final Set<TargetIncarnation> unanswered = new HashSet<>();

	/**
	 * Create an inquiry, which is inactive until {@link #start} is called.
	 * @param isListUnavailable determines whether the list is unavailable at a time in
	 * milliseconds
	 * @param isResponsible determines whether this process is responsible for querying an
	 * engine
	 * @param engines supplies the engines that accept requests
	 * @param outputs sends the queries and receives the results
	 * @param timers schedules the queries
	 */
	public DrainingQuery(LongPredicate isListUnavailable, Predicate<ListedTarget> isResponsible,
			Supplier<List<ListedTarget>> engines, DrainingQueryOutputs outputs, Timers timers) {
		this.isListUnavailable = Objects.requireNonNull(isListUnavailable, "isListUnavailable must not be null");
		this.isResponsible = Objects.requireNonNull(isResponsible, "isResponsible must not be null");
		this.engines = Objects.requireNonNull(engines, "engines must not be null");
		this.outputs = Objects.requireNonNull(outputs, "outputs must not be null");
		this.timers = Objects.requireNonNull(timers, "timers must not be null");
	}

	/**
	 * Start periodic checks, which query engines while the list is unavailable.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void start(long now) {
		if (this.isListUnavailable.test(now)) {
			this.engines.get().stream().filter(this.isResponsible).forEach(this::query);
		}
		this.timers.schedule(now + QUERY_INTERVAL_MILLIS, this::start);
	}

	// Sends no second query to an incarnation with an unanswered one.
	private void query(ListedTarget engine) {
		if (this.unanswered.add(engine.incarnation())) {
			this.outputs.query(engine);
		}
	}

	/**
	 * Handle the answer of an engine, also if the list has become available meanwhile.
	 * @param engine the list entry of the engine, as passed to
	 * {@link DrainingQueryOutputs#query}
	 * @param answer the engine's answer or the failure of the query
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void handleAnswer(ListedTarget engine, EngineAnswer answer, long now) {
		this.unanswered.remove(engine.incarnation());
		switch (answer.outcome()) {
			case DRAINING -> handleDraining(engine, answer, now);
			case REFUSED -> this.outputs.connectionRefused(engine, now);
			case ACCEPTING, UNKNOWN -> {
			}
		}
	}

	// The engine may have restarted since it was listed, or another engine may have its
	// address. Such an answer does not apply to the queried incarnation.
	private static boolean isFromQueriedIncarnation(ListedTarget engine, EngineAnswer answer) {
		return answer.startMillis().isEmpty() || engine.startMillis().isEmpty()
				|| answer.startMillis().equals(engine.startMillis());
	}

	private void handleDraining(ListedTarget engine, EngineAnswer answer, long now) {
		if (answer.stopsInMillis().isPresent() && isFromQueriedIncarnation(engine, answer)) {
			this.outputs.draining(engine, answer, now);
		}
	}

}
