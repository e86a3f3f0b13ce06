package dev.laneworks.runtime.platform;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * The platform's list of instances that are live or leaving; it lags behind the actual
 * state.
 *
 * @since 0.1
 */
public interface LiveList {

	/**
	 * Read the list's element for an instance.
	 * @param name the instance's name; a platform that cannot filter by name may return
	 * the whole list
	 * @param receiver receives the list or the reason of the failure; called once, on an
	 * I/O thread
	 */
	void read(String name, Consumer<Either<IOException, List<LiveInstance>>> receiver);

}
