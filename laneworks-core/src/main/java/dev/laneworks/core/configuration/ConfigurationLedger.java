package dev.laneworks.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

import dev.laneworks.core.document.InvalidDocumentException;
import io.vavr.control.Either;

/**
 * Holds the configuration in force, whose version only rises.
 * <p>
 * Documents may come from the platform's service or from any peer, in any order; the
 * highest version that passes the checks is in force. The ledger also knows how long ago
 * the service was last heard to have nothing newer, at first hand or through peers. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationLedger {

	/** The age of a view that the service has never confirmed, in milliseconds. */
	public static final long NEVER_CONFIRMED = Long.MAX_VALUE;

	private FleetConfiguration current;

	private String text;

	private String digest;

	private long acceptedAt;

	private boolean confirmed;

	private long confirmedAt;

	/**
	 * Offer a document.
	 * @param source where it came from, for messages
	 * @param document the document
	 * @param now the time in milliseconds
	 * @return what came of it, or the fault that makes the document void
	 */
	public Either<InvalidDocumentException, Outcome> offer(String source, String document, long now) {
		if (document.equals(this.text)) {
			return Either.right(Outcome.SAME);
		}
		return ConfigurationParser.parse(source, document).map((c) -> accept(c, document, now));
	}

	/**
	 * Record that the service was heard to hold a version.
	 * @param version the version that the service held
	 * @param ageMillis how long ago it was heard
	 * @param now the time in milliseconds
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
	 * Return how long ago the service was heard to hold the version in force.
	 * @param now the time in milliseconds
	 * @return the age in milliseconds, or {@link #NEVER_CONFIRMED}
	 */
	public long confirmedAgeMillis(long now) {
		return this.confirmed ? Math.max(0, now - this.confirmedAt) : NEVER_CONFIRMED;
	}

	/**
	 * Return the configuration in force.
	 * @return the configuration, or empty before the first
	 */
	public Optional<FleetConfiguration> current() {
		return Optional.ofNullable(this.current);
	}

	/**
	 * Return the version in force.
	 * @return the version, or 0 before the first
	 */
	public long version() {
		return (this.current != null) ? this.current.version() : 0;
	}

	/**
	 * Return the document in force.
	 * @return the text, or empty before the first
	 */
	public Optional<String> text() {
		return Optional.ofNullable(this.text);
	}

	/**
	 * Return the digest of the document in force.
	 * @return the SHA-256 in hexadecimal, or empty text before the first
	 */
	public String digest() {
		return (this.digest != null) ? this.digest : "";
	}

	/**
	 * Return when the document in force was accepted.
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
	 * What came of an offered document.
	 */
	public enum Outcome {

		/** It is in force now. */
		ACCEPTED,

		/** It is the one in force. */
		SAME,

		/** It is older than the one in force and was dropped. */
		OLDER,

		/** It bears the version in force but differs from it, and was dropped. */
		CONFLICT

	}

}
