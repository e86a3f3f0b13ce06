package dev.laneworks.runtime.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Output that writes log lines on its own thread, so that logging never blocks.
 * <p>
 * Lines above the rate limit, or above the capacity of the queue while the output stalls,
 * are dropped and counted. A later line reports the counts. Thread-safe.
 */
final class LineOutput {

	/** A few times the lines of a busy entry. */
	private static final double LINES_PER_SECOND = 400;

	private static final double BURST_LINES = 1_200;

	/** Limits the memory of lines that wait for a stalled output. */
	private static final int QUEUE_CAPACITY = 4_096;

	private static final long FLUSH_TIMEOUT_MILLIS = 300;

	private final OutputStream out;

	private final LogRateLimiter rateLimiter;

	private final BlockingQueue<String> queue;

	private long droppedRoutine;

	private long droppedOther;

	private volatile boolean writing;

	LineOutput(OutputStream out, LogRateLimiter rateLimiter, int queueCapacity) {
		this.out = out;
		this.rateLimiter = rateLimiter;
		this.queue = new ArrayBlockingQueue<>(queueCapacity);
	}

	static LineOutput toStandardOutput() {
		LineOutput output = new LineOutput(System.out,
				new LogRateLimiter(LINES_PER_SECOND, BURST_LINES, System.nanoTime()), QUEUE_CAPACITY);
		output.start();
		return output;
	}

	void start() {
		Thread thread = new Thread(this::writeLines, "log");
		thread.setDaemon(true);
		thread.start();
	}

	synchronized void offer(String line, boolean isRoutine) {
		if (!this.rateLimiter.tryAcquire(isRoutine, System.nanoTime()) || !this.queue.offer(line)) {
			countDropped(isRoutine);
			return;
		}
		if (this.droppedRoutine + this.droppedOther > 0 && !isRoutine) {
			reportDropped();
		}
	}

	private void countDropped(boolean isRoutine) {
		if (isRoutine) {
			this.droppedRoutine++;
		}
		else {
			this.droppedOther++;
		}
	}

	private void reportDropped() {
		String report = "{\"event\":\"lines-dropped\",\"routine\":" + this.droppedRoutine + ",\"other\":"
				+ this.droppedOther + "}\n";
		if (this.queue.offer(report)) {
			this.droppedRoutine = 0;
			this.droppedOther = 0;
		}
	}

	/**
	 * Wait until all queued lines are written, or for a short timeout.
	 */
	void flush() {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_TIMEOUT_MILLIS);
		while ((!this.queue.isEmpty() || this.writing) && System.nanoTime() < end) {
			Thread.onSpinWait();
			Thread.yield();
		}
	}

	private void writeLines() {
		try {
			while (true) {
				String line = this.queue.take();
				this.writing = true;
				this.out.write(line.getBytes(StandardCharsets.UTF_8));
				this.out.flush();
				this.writing = false;
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			// The reader has closed the output; further lines are dropped.
			this.writing = false;
		}
	}

}
