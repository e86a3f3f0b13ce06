package dev.laneworks.core.message;

/**
 * A message by which peers keep each other's configuration up to date.
 *
 * @since 0.1
 */
public sealed interface ConfigurationMessage {

	/**
	 * Says which configuration is in force at the sender.
	 *
	 * @param version the version, or 0 for none
	 * @param confirmedAgeMillis how long ago the service was heard to hold it, or
	 * {@link Long#MAX_VALUE} for never
	 */
	record Notice(long version, long confirmedAgeMillis) implements ConfigurationMessage {

	}

	/**
	 * Asks for the document in force.
	 */
	record Request() implements ConfigurationMessage {

	}

	/**
	 * Carries the document in force.
	 *
	 * @param version the version
	 * @param text the document
	 */
	record Text(long version, String text) implements ConfigurationMessage {

	}

}
