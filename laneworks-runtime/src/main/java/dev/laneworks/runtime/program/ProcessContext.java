package dev.laneworks.runtime.program;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import dev.laneworks.core.peer.ConfigurationService;
import dev.laneworks.runtime.audit.AuditTrail;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.duty.Supervisor;
import dev.laneworks.runtime.http.AsyncHttpClient;
import dev.laneworks.runtime.http.IoWorker;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.platform.HttpConfigurationService;

/**
 * Components that every process of the system needs: I/O threads, root supervisor, audit
 * trail, metrics and termination. Thread-safe.
 *
 * @since 0.1
 */
public final class ProcessContext {

	private static final int TASK_THREADS = 2;

	private static final Duration FAILURE_WINDOW = Duration.ofSeconds(10);

	private static final int MAX_FAILURES = 5;

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(2);

	/** Lets pending responses and log lines reach the operating system. */
	private static final Duration FLUSH_DELAY = Duration.ofMillis(200);

	private final CommonSettings settings;

	private final IoWorker io;

	private final AsyncHttpClient client;

	private final AuditTrail audit;

	private final MetricRegistry metrics = new MetricRegistry();

	private final Supervisor supervisor;

	private final CountDownLatch ended = new CountDownLatch(1);

	private volatile ExitCode exitCode = ExitCode.OK;

	/**
	 * Create the components and start the I/O threads.
	 * @param name the name of the root supervisor
	 * @param settings the settings that entries and sidecars share
	 * @param ioThreads the number of threads that serve HTTP connections
	 */
	public ProcessContext(String name, CommonSettings settings, int ioThreads) {
		this.settings = settings;
		this.io = IoWorker.start(ioThreads, TASK_THREADS);
		this.client = new AsyncHttpClient(this.io.worker(), this.io.buffers());
		this.audit = new AuditTrail(settings.auditCapacity());
		this.supervisor = new Supervisor(name, MAX_FAILURES, FAILURE_WINDOW, (ex) -> requestEnd(ExitCode.GAVE_UP));
	}

	/**
	 * Return the I/O threads of the process.
	 * @return the threads and their buffer pool
	 */
	public IoWorker io() {
		return this.io;
	}

	/**
	 * Return the HTTP client of the process.
	 * @return the client, which runs on the I/O threads
	 */
	public AsyncHttpClient caller() {
		return this.client;
	}

	/**
	 * Return the audit trail of the process.
	 * @return the trail, limited by the {@code auditCapacity} setting
	 */
	public AuditTrail audit() {
		return this.audit;
	}

	/**
	 * Return the metric registry of the process.
	 * @return the registry that the operator server exports
	 */
	public MetricRegistry metrics() {
		return this.metrics;
	}

	/**
	 * Return the root supervisor.
	 * @return the supervisor, which ends the process when it gives up
	 */
	public Supervisor supervisor() {
		return this.supervisor;
	}

	/**
	 * Create a client of the platform's configuration service.
	 * @return a new client
	 */
	public ConfigurationService configurationService() {
		return new HttpConfigurationService(this.client, this.io.worker().getIoThread(), this.settings.platform(),
				this.settings.watchWait());
	}

	/**
	 * Register a gauge.
	 * @param name the metric's name
	 * @param value supplies the current value; called on any thread
	 */
	public void gauge(String name, LongSupplier value) {
		this.metrics.register(name, (Gauge<Long>) value::getAsLong);
	}

	/**
	 * Evaluate a function on a duty's state and wait for the result.
	 * @param <S> the type of the state
	 * @param duty the duty that owns the state
	 * @param query the function, called on the duty's thread
	 * @return the result of the function
	 * @throws IllegalStateException if there is no result in time or the caller is
	 * interrupted
	 */
	public static <S> Object query(Duty<S> duty, Function<S, Object> query) {
		CompletableFuture<Object> answer = new CompletableFuture<>();
		duty.put((s) -> answer.complete(query.apply(s)));
		try {
			return answer.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while waiting for an answer from " + duty.name(), ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException(duty.name() + " did not answer in time", ex);
		}
	}

	/**
	 * Request the end of the process. Calls after the first one have no effect.
	 * @param code the exit code of the process
	 */
	public synchronized void requestEnd(ExitCode code) {
		if (!isEndRequested()) {
			this.exitCode = code;
			this.ended.countDown();
		}
	}

	/**
	 * Schedule the end of the process with {@link ExitCode#OK}.
	 * @param limit the delay; zero schedules nothing
	 */
	public void scheduleEnd(Duration limit) {
		if (!limit.isZero()) {
			this.io.worker()
				.getIoThread()
				.executeAfter(() -> requestEnd(ExitCode.OK), limit.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Determine whether the end of the process was requested.
	 * @return {@code true} after {@link #requestEnd}
	 */
	public boolean isEndRequested() {
		return this.ended.getCount() == 0;
	}

	/**
	 * Block until the end of the process is requested.
	 * @return the exit code of the process
	 */
	public ExitCode awaitEnd() {
		try {
			this.ended.await();
			Thread.sleep(FLUSH_DELAY.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		LogLine.of("ended").with("code", this.exitCode.code()).info();
		return this.exitCode;
	}

}
