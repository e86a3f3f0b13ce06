package dev.laneworks.runtime.http;

import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vavr.control.Either;

/**
 * Executes tasks that would delay an I/O thread on another thread.
 *
 * @since 0.2
 */
public interface BackgroundExecutor {

	/**
	 * Execute a task and pass its result to the I/O thread. Tasks are executed one after
	 * another in submission order.
	 * @param <T> the type of the result
	 * @param task the task, which must not access state of the I/O thread
	 * @param receiver receives on the I/O thread the result, or what the task threw,
	 * errors such as {@link OutOfMemoryError} included
	 */
	<T> void submit(Supplier<T> task, Consumer<Either<Throwable, T>> receiver);

}
