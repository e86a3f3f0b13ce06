package dev.laneworks.runtime.http;

import java.util.function.Consumer;
import java.util.function.Supplier;

import dev.laneworks.runtime.log.LogLine;
import io.vavr.control.Either;
import org.xnio.XnioIoThread;

/**
 * Implementation that uses the single task thread of an I/O thread's worker.
 *
 * @since 0.2
 */
public final class DefaultBackgroundExecutor implements BackgroundExecutor {

	private final XnioIoThread thread;

	/**
	 * Create an executor.
	 * @param thread the I/O thread that receives the results; its worker must have
	 * exactly one task thread
	 */
	public DefaultBackgroundExecutor(XnioIoThread thread) {
		this.thread = thread;
	}

	@Override
	public <T> void submit(Supplier<T> task, Consumer<Either<Throwable, T>> receiver) {
		this.thread.getWorker().execute(() -> {
			Either<Throwable, T> result = run(task);
			this.thread.execute(() -> receiver.accept(result));
		});
	}

	private static <T> Either<Throwable, T> run(Supplier<T> task) {
		try {
			return Either.right(task.get());
		}
		catch (RuntimeException | Error ex) {
			LogLine.of("background-task").with("outcome", "failed").with("cause", ex.toString()).warn();
			return Either.left(ex);
		}
	}

}
