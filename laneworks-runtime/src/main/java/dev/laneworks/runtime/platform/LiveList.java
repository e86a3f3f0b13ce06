package dev.laneworks.runtime.platform;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * The platform's list of instances that are live or leaving, which lags.
 *
 * @since 0.1
 */
public interface LiveList {

	/**
	 * Read what the list says of an instance.
	 * @param name the instance's name; a platform that can't look for one name may answer
	 * with the whole list
	 * @param receiver takes the list or why there is none; called once on an I/O thread
	 */
	void read(String name, Consumer<Either<IOException, List<LiveInstance>>> receiver);

}
