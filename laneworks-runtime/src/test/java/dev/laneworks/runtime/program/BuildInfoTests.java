package dev.laneworks.runtime.program;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a program names the sources that it was built from.
 */
class BuildInfoTests {

	// Guards against a record of a run that does not show which code was run.
	@Test
	void buildStatesTheDigestOfItsSources() {
		BuildInfo build = BuildInfo.current();
		assertThat(build.sourcesDigest()).matches("[0-9a-f]{64}");
		assertThat(build.describe())
			.startsWith(build.version() + ", sources " + build.sourcesDigest().substring(0, 16));
	}

	@Test
	void sourcesOutsideACheckoutHaveNoCommit() {
		String digest = "0123456789abcdef".repeat(4);
		assertThat(new BuildInfo("1.0", digest, Optional.empty()).describe())
			.isEqualTo("1.0, sources 0123456789abcdef");
		assertThat(new BuildInfo("1.0", digest, Optional.of("c0ffee-dirty")).describe())
			.isEqualTo("1.0, sources 0123456789abcdef, commit c0ffee-dirty");
	}

	@Test
	void versionOptionPrintsTheBuild() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		Program<String> program = new Program<>("p", "does nothing", (d) -> "", (s) -> ExitCode.OK, List.of());
		ExitCode code = program.run(new String[] { "--version" }, new PrintStream(out, true, StandardCharsets.UTF_8),
				System.err);
		assertThat(code).isEqualTo(ExitCode.OK);
		assertThat(out.toString(StandardCharsets.UTF_8).strip()).isEqualTo("p " + BuildInfo.current().describe());
	}

}
