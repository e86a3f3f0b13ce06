package dev.laneworks.core.peer;

import java.io.IOException;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * The platform's configuration service, which can only be read and watched.
 *
 * @since 0.1
 */
public interface ConfigurationService {

	/**
	 * Ask for the document, waiting while the service holds none newer than a version.
	 * @param afterVersion the version that the caller holds; 0 asks for any at once
	 * @param receiver takes the document, empty if the service holds none newer, or why
	 * there is no answer; called once on an I/O thread
	 */
	void watch(long afterVersion, Consumer<Either<IOException, PublishedDocument>> receiver);

}
