package dev.laneworks.runtime.http;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.TimeUnit;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.tinylog.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * I/O threads and buffer pool that the HTTP servers and clients of a process share.
 *
 * @param worker the I/O threads and task threads
 * @param buffers the pool of direct buffers
 * @since 0.1
 */
public record IoWorker(XnioWorker worker, ByteBufferPool buffers) {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int MAX_POOLED_BUFFERS = 128;

	/**
	 * Create a worker and start its threads.
	 * @param ioThreads the number of threads that serve connections
	 * @param taskThreads the number of threads for tasks that may block
	 * @return the worker, with daemon threads
	 */
	public static IoWorker start(int ioThreads, int taskThreads) {
		OptionMap options = OptionMap.builder()
			.set(Options.WORKER_IO_THREADS, ioThreads)
			.set(Options.WORKER_TASK_CORE_THREADS, taskThreads)
			.set(Options.WORKER_TASK_MAX_THREADS, taskThreads)
			.set(Options.TCP_NODELAY, true)
			.set(Options.THREAD_DAEMON, true)
			.getMap();
		try {
			return new IoWorker(Xnio.getInstance().createWorker(options),
					new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start the I/O threads", ex);
		}
	}

	/**
	 * Close all channels, stop the threads and wait until they have stopped.
	 * @param timeoutMillis the longest time to wait, in milliseconds
	 * @since 0.7
	 */
	public void stop(long timeoutMillis) {
		this.worker.shutdownNow();
		try {
			if (!this.worker.awaitTermination(timeoutMillis, TimeUnit.MILLISECONDS)) {
				Logger.warn("the I/O threads did not stop within {} ms", timeoutMillis);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
