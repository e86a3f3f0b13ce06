package dev.laneworks.runtime.http;

import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Does work beside an I/O thread, which goes on with its connections meanwhile.
 *
 * @since 0.2
 */
public interface BackgroundWork {

	/**
	 * Do work and hand its result to the I/O thread. Works are done one after the other,
	 * in the order in which they were given.
	 * @param <T> the result's type
	 * @param work the work, which must not touch what the I/O thread uses
	 * @param receiver takes the result on the I/O thread
	 */
	<T> void run(Supplier<T> work, Consumer<T> receiver);

}
