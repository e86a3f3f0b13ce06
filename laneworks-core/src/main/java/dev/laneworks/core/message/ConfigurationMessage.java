package dev.laneworks.core.message;

/**
 * Message between peers that distributes the configuration.
 *
 * @since 0.1
 */
public sealed interface ConfigurationMessage {

	/**
	 * Announces the configuration in force at the sender.
	 *
	 * @param version the version, or 0 for none
	 * @param confirmedAgeMillis the time since the service confirmed the version, in
	 * milliseconds, or {@link Long#MAX_VALUE} if it never did
	 */
	record Notice(long version, long confirmedAgeMillis) implements ConfigurationMessage {

	}

	/**
	 * Requests the document in force.
	 */
	record Request() implements ConfigurationMessage {

	}

	/**
	 * Carries the document in force.
	 *
	 * @param version the version of the document
	 * @param text the text of the document
	 */
	record Document(long version, String text) implements ConfigurationMessage {

	}

}
