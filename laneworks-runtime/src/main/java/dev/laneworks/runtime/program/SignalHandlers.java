package dev.laneworks.runtime.program;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import dev.laneworks.runtime.log.LogLine;
import sun.misc.Signal;

/**
 * Handlers of the operating system's signals for a planned stop and for reloading.
 * <p>
 * The first TERM or INT starts the planned stop. Further TERM signals are ignored, since
 * platforms repeat them. A second INT, usually from a terminal, halts the process
 * immediately.
 *
 * @since 0.1
 */
public final class SignalHandlers {

	private static final int INTERRUPTED_EXIT_STATUS = 130;

	private final AtomicInteger interrupts = new AtomicInteger();

	private final AtomicInteger signals = new AtomicInteger();

	private Optional<Runnable> reloadAction = Optional.empty();

	private boolean reloadDeferred;

	/**
	 * Install the handlers of TERM and INT.
	 * @param stop starts the planned stop; called once, on the signal's thread
	 */
	public void handle(Runnable stop) {
		Signal.handle(new Signal("TERM"), (s) -> onSignal("TERM", stop));
		Signal.handle(new Signal("INT"), (s) -> {
			if (this.interrupts.incrementAndGet() > 1) {
				Runtime.getRuntime().halt(INTERRUPTED_EXIT_STATUS);
			}
			onSignal("INT", stop);
		});
	}

	/**
	 * Install the handler of HUP, which would end the process otherwise. Signals before
	 * {@link #handleReload} are handled then.
	 * @since 0.7
	 */
	public void deferReload() {
		Signal.handle(new Signal("HUP"), (s) -> reload());
	}

	/**
	 * Install the handler of HUP, which would end the process otherwise.
	 * @param reload reloads the settings; called on the signal's thread, or here if a
	 * signal was deferred
	 */
	public void handleReload(Runnable reload) {
		boolean isDue;
		synchronized (this) {
			this.reloadAction = Optional.of(reload);
			isDue = this.reloadDeferred;
		}
		deferReload();
		if (isDue) {
			reload();
		}
	}

	private void reload() {
		Optional<Runnable> action;
		synchronized (this) {
			action = this.reloadAction;
			this.reloadDeferred = action.isEmpty();
		}
		LogLine.of("signal")
			.with("signal", "HUP")
			.with("effect", action.isPresent() ? "settings are read again" : "deferred until the start is complete")
			.info();
		action.ifPresent(Runnable::run);
	}

	private void onSignal(String name, Runnable stop) {
		boolean first = this.signals.incrementAndGet() == 1;
		// Stops before logging, so that a failure to log cannot prevent the stop.
		if (first) {
			stop.run();
		}
		LogLine.of("signal").with("signal", name).with("effect", first ? "planned stop" : "none").info();
	}

}
