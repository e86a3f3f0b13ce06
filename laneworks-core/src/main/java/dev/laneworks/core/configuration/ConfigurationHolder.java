package dev.laneworks.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import dev.laneworks.core.document.InvalidDocumentException;
import io.vavr.control.Either;

/**
 * Holds the current configuration and accepts only newer versions.
 * <p>
 * Documents may come from the platform's configuration service or from any peer, in any
 * order. The valid document of the highest version becomes the current one. Also tracks
 * how long ago the service last confirmed that version, directly or through peers. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationHolder {

	/** The age of a version that the service has never confirmed, in milliseconds. */
	public static final long NEVER_CONFIRMED = Long.MAX_VALUE;

	private FleetConfiguration current;

	private String text;

	private String digest;

	private long acceptedAt;

	private boolean confirmed;

	private long confirmedAt;

	/**
	 * Parse a document and make it the current one if it is newer.
	 * @param source the name of the document's source, for error messages
	 * @param document the document
	 * @param now the current time in milliseconds
	 * @return the outcome, or the fault that makes the document invalid
	 */
	public Either<InvalidDocumentException, Outcome> offer(String source, String document, long now) {
		if (document.equals(this.text)) {
			return Either.right(Outcome.SAME);
		}
		return ConfigurationParser.parse(source, document).map((c) -> accept(c, document, now));
	}

	/**
	 * Record that the service reported to hold a version. Ignored unless it is the
	 * current one.
	 * @param version the version that the service held
	 * @param ageMillis how long ago the service reported it, in milliseconds
	 * @param now the current time in milliseconds
	 */
	public void confirm(long version, long ageMillis, long now) {
		if (this.current == null || version != this.current.version() || ageMillis < 0) {
			return;
		}
		long at = now - ageMillis;
		if (!this.confirmed || at > this.confirmedAt) {
			this.confirmed = true;
			this.confirmedAt = at;
		}
	}

	/**
	 * Return how long ago the service last confirmed the current version.
	 * @param now the current time in milliseconds
	 * @return the age in milliseconds, or {@link #NEVER_CONFIRMED}
	 */
	public long confirmedAgeMillis(long now) {
		return this.confirmed ? Math.max(0, now - this.confirmedAt) : NEVER_CONFIRMED;
	}

	/**
	 * Return the current configuration.
	 * @return the configuration, or empty before the first
	 */
	public Optional<FleetConfiguration> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Return the current version.
	 * @return the version, or 0 before the first
	 */
	public long version() {
		return (this.current != null) ? this.current.version() : 0;
	}

	/**
	 * Return the text of the current document.
	 * @return the text, or empty before the first
	 */
	public Optional<String> text() {
		return Optional.ofNullable(this.text);
	}

	/**
	 * Return the digest of the current document.
	 * @return the SHA-256 in lower-case hexadecimal, or an empty string before the first
	 */
	public String digest() {
		return (this.digest != null) ? this.digest : "";
	}

	/**
	 * Return when the current document was accepted.
	 * @return the time in milliseconds
	 */
	public long acceptedAt() {
		return this.acceptedAt;
	}

	private Outcome accept(FleetConfiguration candidate, String document, long now) {
		if (candidate.version() < version()) {
			return Outcome.OLDER;
		}
		if (candidate.version() == version()) {
			return Outcome.CONFLICT;
		}
		this.current = candidate;
		this.text = document;
		this.digest = sha256(document);
		this.acceptedAt = now;
		this.confirmed = false;
		return Outcome.ACCEPTED;
	}

	private static String sha256(String document) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(document.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is missing from this Java runtime", ex);
		}
	}

	/**
	 * The outcome of an offered document.
	 */
	public enum Outcome {

		/** It became the current document. */
		ACCEPTED,

		/** It equals the current document. */
		SAME,

		/** It is older than the current document and was ignored. */
		OLDER,

		/** It has the current version but other content, and was ignored. */
		CONFLICT

	}

}
