package dev.laneworks.runtime.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link LineOutput} and {@link LogRateLimiter}.
 */
class LineOutputTests {

	private static final int MAX_FLUSHES = 10_000;

	@Test
	void stalledOutputDoesNotBlockAndReportsDroppedLines() throws InterruptedException {
		StalledOutput stalled = new StalledOutput();
		LineOutput output = new LineOutput(stalled, new LogRateLimiter(1e9, 1e9, System.nanoTime()), 4);
		output.start();
		output.offer("first\n", false);
		stalled.entered.await();
		for (int i = 0; i < 10; i++) {
			output.offer("line " + i + '\n', false);
		}
		stalled.released.countDown();
		awaitText(output, stalled, "line 3");
		output.offer("after\n", false);
		awaitText(output, stalled, "lines-dropped");
		assertThat(stalled.text()).startsWith("first\nline 0\nline 1\nline 2\nline 3\nafter\n");
		assertThat(stalled.text()).contains("{\"event\":\"lines-dropped\",\"routine\":0,\"other\":6}");
	}

	@Test
	void dropsRoutineLinesFirst() {
		LogRateLimiter rateLimiter = new LogRateLimiter(10, 10, 0);
		int routine = 0;
		for (int i = 0; i < 20; i++) {
			routine += rateLimiter.tryAcquire(true, 0) ? 1 : 0;
		}
		int other = 0;
		for (int i = 0; i < 20; i++) {
			other += rateLimiter.tryAcquire(false, 0) ? 1 : 0;
		}
		assertThat(routine).isEqualTo(5);
		assertThat(other).isEqualTo(5);
		assertThat(rateLimiter.tryAcquire(false, 200_000_000L)).isTrue();
	}

	private static void awaitText(LineOutput output, StalledOutput written, String text) {
		for (int i = 0; i < MAX_FLUSHES && !written.text().contains(text); i++) {
			output.flush();
		}
	}

	/**
	 * Output that blocks until it is released.
	 */
	private static final class StalledOutput extends OutputStream {

		private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

		private final CountDownLatch entered = new CountDownLatch(1);

		private final CountDownLatch released = new CountDownLatch(1);

		@Override
		public void write(int value) {
			write(new byte[] { (byte) value }, 0, 1);
		}

		@Override
		public void write(byte[] data, int offset, int length) {
			this.entered.countDown();
			try {
				this.released.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			synchronized (this.bytes) {
				this.bytes.write(data, offset, length);
			}
		}

		String text() {
			synchronized (this.bytes) {
				return this.bytes.toString();
			}
		}

	}

}
