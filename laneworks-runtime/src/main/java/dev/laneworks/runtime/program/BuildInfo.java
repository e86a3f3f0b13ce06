package dev.laneworks.runtime.program;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Objects;
import java.util.Optional;
import java.util.Properties;

/**
 * Description of the build that a program runs.
 * <p>
 * The build writes it from the contents of the sources, so that two programs with the
 * same digest were built from the same sources.
 *
 * @param version the version of the software
 * @param sourcesDigest the SHA-256 digest of the paths and contents of all main sources
 * and build files, in hexadecimal
 * @param commit the abbreviated commit, with the suffix {@code -dirty} if files differ
 * from it; empty for sources outside a checkout
 * @since 0.9
 */
public record BuildInfo(String version, String sourcesDigest, Optional<String> commit) {

	private static final String RESOURCE = "build.properties";

	private static final int SHORT_DIGEST_LENGTH = 16;

	public BuildInfo {
		Objects.requireNonNull(version, "version must not be null");
		Objects.requireNonNull(sourcesDigest, "sourcesDigest must not be null");
		Objects.requireNonNull(commit, "commit must not be null");
	}

	/**
	 * Read the description of the running program.
	 * @return the description
	 * @throws IllegalStateException if the program was packed without one
	 * @throws UncheckedIOException if it cannot be read
	 */
	public static BuildInfo current() {
		try (InputStream resource = BuildInfo.class.getResourceAsStream(RESOURCE)) {
			if (resource == null) {
				throw new IllegalStateException(RESOURCE + " is missing from the program");
			}
			Properties properties = new Properties();
			properties.load(resource);
			return new BuildInfo(properties.getProperty("version"), properties.getProperty("sources"),
					Optional.of(properties.getProperty("commit")).filter((c) -> !c.isEmpty()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot read " + RESOURCE, ex);
		}
	}

	/**
	 * Describe the build in one line.
	 * @return the version, the start of the digest and the commit
	 */
	public String describe() {
		return this.version + ", sources "
				+ this.sourcesDigest.substring(0, Math.min(SHORT_DIGEST_LENGTH, this.sourcesDigest.length()))
				+ this.commit.map((c) -> ", commit " + c).orElse("");
	}

}
