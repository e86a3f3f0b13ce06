package dev.laneworks.runtime.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * Writes lines on a thread of its own and never holds up those who log.
 * <p>
 * Lines beyond the budget, or beyond a ring that a stalled output has filled, are dropped
 * and counted; a later line tells how many. Thread-safe.
 */
final class LineOutput {

	/**
	 * The lines a second that are logged; a few times what a busy entry writes.
	 */
	private static final double LINES_PER_SECOND = 400;

	private static final double BURST_LINES = 1_200;

	/** The lines that wait for the output at the most; about 1 MB. */
	private static final int RING_LINES = 4_096;

	private static final long FLUSH_MILLIS = 300;

	private final OutputStream out;

	private final LineBudget budget;

	private final BlockingQueue<String> ring;

	private long droppedRoutine;

	private long droppedOther;

	private volatile boolean writing;

	LineOutput(OutputStream out, LineBudget budget, int ringLines) {
		this.out = out;
		this.budget = budget;
		this.ring = new ArrayBlockingQueue<>(ringLines);
	}

	static LineOutput toStandardOutput() {
		LineOutput output = new LineOutput(System.out, new LineBudget(LINES_PER_SECOND, BURST_LINES, System.nanoTime()),
				RING_LINES);
		output.start();
		return output;
	}

	void start() {
		Thread thread = new Thread(this::write, "log");
		thread.setDaemon(true);
		thread.start();
	}

	synchronized void offer(String line, boolean isRoutine) {
		if (!this.budget.tryTake(isRoutine, System.nanoTime()) || !this.ring.offer(line)) {
			countDropped(isRoutine);
			return;
		}
		if (this.droppedRoutine + this.droppedOther > 0 && !isRoutine) {
			tellDropped();
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

	private void tellDropped() {
		String told = "{\"event\":\"lines-dropped\",\"routine\":" + this.droppedRoutine + ",\"other\":"
				+ this.droppedOther + "}\n";
		if (this.ring.offer(told)) {
			this.droppedRoutine = 0;
			this.droppedOther = 0;
		}
	}

	/**
	 * Wait until what was offered is written, but not for long.
	 */
	void flush() {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS);
		while ((!this.ring.isEmpty() || this.writing) && System.nanoTime() < end) {
			Thread.onSpinWait();
			Thread.yield();
		}
	}

	private void write() {
		try {
			while (true) {
				String line = this.ring.take();
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
			// Nobody reads the output any more; lines are dropped from now on.
			this.writing = false;
		}
	}

}
