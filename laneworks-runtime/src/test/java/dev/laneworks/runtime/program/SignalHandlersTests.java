package dev.laneworks.runtime.program;

import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import sun.misc.Signal;

/**
 * Tests for {@link SignalHandlers}.
 */
class SignalHandlersTests {

	// Guards against a process that a signal to reload ends during its start.
	@Test
	@Timeout(30)
	void defersReloadUntilTheStartIsComplete() throws InterruptedException {
		SignalHandlers signals = new SignalHandlers();
		signals.deferReload();
		Signal.raise(new Signal("HUP"));
		CountDownLatch reloads = new CountDownLatch(2);
		signals.handleReload(reloads::countDown);
		Signal.raise(new Signal("HUP"));
		reloads.await();
	}

}
