package dev.laneworks.core.peer;

import java.io.IOException;
import java.util.function.Consumer;

import io.vavr.control.Either;

/**
 * Read-only client of the platform's configuration service.
 *
 * @since 0.1
 */
public interface ConfigurationService {

	/**
	 * Request the document, waiting until the service holds a newer version.
	 * @param afterVersion the version that the caller holds, or 0 to request any version
	 * without waiting
	 * @param receiver receives the document, with empty text if none is newer, or the
	 * failure of the call; called once on an I/O thread
	 */
	void watch(long afterVersion, Consumer<Either<IOException, PublishedDocument>> receiver);

}
