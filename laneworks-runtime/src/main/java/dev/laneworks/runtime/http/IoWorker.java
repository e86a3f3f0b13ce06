package dev.laneworks.runtime.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The I/O threads and buffers that a process's HTTP servers and clients share.
 *
 * @param worker the threads
 * @param buffers the buffers
 * @since 0.1
 */
public record IoWorker(XnioWorker worker, ByteBufferPool buffers) {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int BUFFERS_POOLED = 128;

	/**
	 * Start the threads.
	 * @param ioThreads the threads that serve connections
	 * @param taskThreads the most threads for calls that may block
	 * @return the worker
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
					new DefaultByteBufferPool(true, BUFFER_BYTES, BUFFERS_POOLED, 0));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the I/O threads can't be started", ex);
		}
	}

}
