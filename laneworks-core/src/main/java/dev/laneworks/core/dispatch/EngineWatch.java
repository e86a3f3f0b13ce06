package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.time.Timers;

/**
 * Asks engines themselves whether they are leaving, while the list of targets can't be
 * followed.
 * <p>
 * An engine that is taken away says so in the list, which nobody hears while the store is
 * out of reach. Only engines that run something for this process are asked, and only then,
 * since each question has its price. Not thread-safe.
 *
 * @since 0.2
 */
public final class EngineWatch {

	/**
	 * How often an engine is asked, in milliseconds; a notice is at least 1,540 ms long, of
	 * which the moves need most.
	 */
	private static final long ASK_MILLIS = 350;

	private final TargetDirectory directory;

	private final Supplier<List<ListedTarget>> engines;

	private final Consumer<ListedTarget> ask;

	private final Timers timers;

	private boolean isListLost;

	/**
	 * Create a watch.
	 * @param directory hears of engines that are leaving
	 * @param engines gives the engines that run something for this process
	 * @param ask asks an engine; its answer is given to {@link #told}
	 * @param timers what is due later
	 */
	public EngineWatch(TargetDirectory directory, Supplier<List<ListedTarget>> engines, Consumer<ListedTarget> ask,
			Timers timers) {
		this.directory = directory;
		this.engines = engines;
		this.ask = ask;
		this.timers = timers;
	}

	/**
	 * Take that the list can't be followed.
	 * @param now the time in milliseconds
	 */
	public void listLost(long now) {
		if (!this.isListLost) {
			this.isListLost = true;
			askAll(now);
		}
	}

	/**
	 * Take that the list is followed again.
	 */
	public void listRegained() {
		this.isListLost = false;
	}

	/**
	 * Take what an engine said.
	 * @param engine the engine
	 * @param isLeaving whether it takes no new work or will be taken away
	 */
	public void told(ListedTarget engine, boolean isLeaving) {
		if (isLeaving) {
			this.directory.refusedWork(engine.id());
		}
	}

	private void askAll(long now) {
		if (!this.isListLost) {
			return;
		}
		this.engines.get().stream().filter((e) -> this.directory.takesWork(e.id())).forEach(this.ask);
		this.timers.at(now + ASK_MILLIS, this::askAll);
	}

}
