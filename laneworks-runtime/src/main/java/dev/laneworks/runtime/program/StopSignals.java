package dev.laneworks.runtime.program;

import java.util.concurrent.atomic.AtomicInteger;

import dev.laneworks.runtime.log.LogLine;
import sun.misc.Signal;

/**
 * Turns the operating system's signals into a planned stop.
 * <p>
 * The first TERM or INT starts the stop. A further TERM changes nothing, since platforms
 * repeat it; a second INT, which comes from somebody at a terminal, ends the process at
 * once.
 *
 * @since 0.1
 */
public final class StopSignals {

	private static final int EXIT_BY_INTERRUPT = 130;

	private final AtomicInteger interrupts = new AtomicInteger();

	private final AtomicInteger signals = new AtomicInteger();

	/**
	 * Handle signals from now on.
	 * @param stop starts the planned stop; called once
	 */
	public void handle(Runnable stop) {
		Signal.handle(new Signal("TERM"), (s) -> onSignal("TERM", stop));
		Signal.handle(new Signal("INT"), (s) -> {
			if (this.interrupts.incrementAndGet() > 1) {
				Runtime.getRuntime().halt(EXIT_BY_INTERRUPT);
			}
			onSignal("INT", stop);
		});
	}

	/**
	 * Do something when the settings are said to have changed, instead of ending.
	 * @param reload reads the settings again; called on the thread of the signal
	 */
	public void handleReload(Runnable reload) {
		Signal.handle(new Signal("HUP"), (s) -> {
			LogLine.of("signal").with("signal", "HUP").with("effect", "settings are read again").info();
			reload.run();
		});
	}

	private void onSignal(String name, Runnable stop) {
		boolean first = this.signals.incrementAndGet() == 1;
		// The stop first: nothing else may keep it from being taken.
		if (first) {
			stop.run();
		}
		LogLine.of("signal").with("signal", name).with("effect", first ? "planned stop" : "none").info();
	}

}
