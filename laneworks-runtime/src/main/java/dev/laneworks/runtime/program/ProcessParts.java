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
import dev.laneworks.runtime.http.HttpCaller;
import dev.laneworks.runtime.http.IoWorker;
import dev.laneworks.runtime.log.LogLine;
import dev.laneworks.runtime.platform.HttpConfigurationService;

/**
 * What every running process of the system has: I/O threads, a supervisor, an audit
 * trail, metrics and an end.
 *
 * @since 0.1
 */
public final class ProcessParts {

	private static final int TASK_THREADS = 2;

	private static final Duration FAILURE_WINDOW = Duration.ofSeconds(10);

	private static final int MAX_FAILURES = 5;

	private static final Duration ANSWER_WAIT = Duration.ofSeconds(2);

	/** How long the last bytes may take to reach the operating system. */
	private static final Duration FLUSH = Duration.ofMillis(200);

	private final CommonSettings settings;

	private final IoWorker io;

	private final HttpCaller caller;

	private final AuditTrail audit;

	private final MetricRegistry metrics = new MetricRegistry();

	private final Supervisor supervisor;

	private final CountDownLatch ended = new CountDownLatch(1);

	private volatile ExitCode exitCode = ExitCode.OK;

	/**
	 * Start the I/O threads and create the rest.
	 * @param name the name of the supervisor at the root
	 * @param settings what both programs have
	 * @param ioThreads the threads that serve HTTP connections
	 */
	public ProcessParts(String name, CommonSettings settings, int ioThreads) {
		this.settings = settings;
		this.io = IoWorker.start(ioThreads, TASK_THREADS);
		this.caller = new HttpCaller(this.io.worker(), this.io.buffers());
		this.audit = new AuditTrail(settings.auditCapacity());
		this.supervisor = new Supervisor(name, MAX_FAILURES, FAILURE_WINDOW, (ex) -> end(ExitCode.GAVE_UP));
	}

	/**
	 * Return the I/O threads.
	 * @return the threads and their buffers
	 */
	public IoWorker io() {
		return this.io;
	}

	/**
	 * Return what calls HTTP servers.
	 * @return the caller
	 */
	public HttpCaller caller() {
		return this.caller;
	}

	/**
	 * Return the audit trail.
	 * @return the trail
	 */
	public AuditTrail audit() {
		return this.audit;
	}

	/**
	 * Return the metrics.
	 * @return the registry
	 */
	public MetricRegistry metrics() {
		return this.metrics;
	}

	/**
	 * Return the supervisor at the root.
	 * @return the supervisor
	 */
	public Supervisor supervisor() {
		return this.supervisor;
	}

	/**
	 * Return the platform's configuration service.
	 * @return a reader of it
	 */
	public ConfigurationService configurationService() {
		return new HttpConfigurationService(this.caller, this.io.worker().getIoThread(), this.settings.platform(),
				this.settings.watchWait());
	}

	/**
	 * Publish a number as a metric.
	 * @param name the metric's name
	 * @param value gives the number; called on any thread
	 */
	public void gauge(String name, LongSupplier value) {
		this.metrics.register(name, (Gauge<Long>) value::getAsLong);
	}

	/**
	 * Ask a duty for something of its state, and wait for the answer.
	 * @param <S> the type of state
	 * @param duty the duty
	 * @param question makes the answer, on the duty's thread
	 * @return the answer
	 * @throws IllegalStateException if the duty does not answer in time
	 */
	public static <S> Object ask(Duty<S> duty, Function<S, Object> question) {
		CompletableFuture<Object> answer = new CompletableFuture<>();
		duty.put((s) -> answer.complete(question.apply(s)));
		try {
			return answer.get(ANSWER_WAIT.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted while asking " + duty.name(), ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException(duty.name() + " did not answer in time", ex);
		}
	}

	/**
	 * Make the process end; the first call counts.
	 * @param code how
	 */
	public synchronized void end(ExitCode code) {
		if (!isEnding()) {
			this.exitCode = code;
			this.ended.countDown();
		}
	}

	/**
	 * Make the process end after a time, unless the time is zero.
	 * @param limit the time
	 */
	public void endAfter(Duration limit) {
		if (!limit.isZero()) {
			this.io.worker()
				.getIoThread()
				.executeAfter(() -> end(ExitCode.OK), limit.toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Return whether the process is to end.
	 * @return {@code true} after {@link #end}
	 */
	public boolean isEnding() {
		return this.ended.getCount() == 0;
	}

	/**
	 * Wait until the process is to end.
	 * @return how it ends
	 */
	public ExitCode awaitEnd() {
		try {
			this.ended.await();
			Thread.sleep(FLUSH.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		LogLine.of("ended").with("code", this.exitCode.code()).info();
		return this.exitCode;
	}

}
