package dev.laneworks.entry.explain;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import dev.laneworks.runtime.program.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ExplainCommand}.
 */
class ExplainCommandTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	Path folder;

	@Test
	void printsEventsOfRequestAndItsTargetsInOrder() throws IOException {
		Path one = log("one", line("10:00:02", "e1", "cut", "r1", "", "the connection broke"),
				line("10:00:00", "e1", "accepted", "r1", "", "route r"),
				line("10:00:00", "e1", "routed", "r1", "t1", "attempt 1"),
				line("10:00:01", "e1", "membership", "t1", "t1", "leaving: VANISHED"),
				line("10:00:01", "e1", "membership", "t9", "t9", "leaving: VANISHED"));
		Path two = log("two", line("10:00:01", "e2", "routed", "r2", "t1", "attempt 1"));
		assertThat(run("--log", one.toString(), "--log", two.toString(), "r1")).isEqualTo(ExitCode.OK);
		assertThat(this.out.toString().lines().toList())
			.containsExactly("10:00:00 e1 accepted: route r", "10:00:00 e1 routed t1: attempt 1",
					"10:00:01 e1 (target) membership t1: leaving: VANISHED", "10:00:02 e1 cut: the connection broke")
			.inOrder();
	}

	@Test
	void printsWaitForEngineMemoryInOrder() throws IOException {
		Path log = log("one", line("10:00:01", "e1", "routed", "r1", "t1", "attempt 1, queued until 1000 ms"),
				line("10:00:00", "e1", "accepted", "r1", "", "route r"),
				line("10:00:00", "e1", "queued", "r1", "", "position 1"));
		run("--log", log.toString(), "r1");
		assertThat(this.out.toString().lines().limit(3).toList())
			.containsExactly("10:00:00 e1 accepted: route r", "10:00:00 e1 queued: position 1",
					"10:00:01 e1 routed t1: attempt 1, queued until 1000 ms")
			.inOrder();
	}

	@Test
	void reportsGapsInTheLogs() throws IOException {
		Path log = log("one", line("10:00:00", "e1", "routed", "r1", "t1", "attempt 1"),
				"{\"time\":\"10:00:05\",\"instance\":\"e1\",\"event\":\"lines-dropped\",\"routine\":3,\"other\":1}");
		run("--log", log.toString(), "r1");
		assertThat(this.out.toString()).contains("no event reports that the request was accepted");
		assertThat(this.out.toString()).contains("no event reports how the request ended");
		assertThat(this.out.toString()).contains("e1 dropped 3 routine and 1 other lines before 10:00:05");
	}

	@Test
	void failsForUnknownRequestOrInvalidArguments() throws IOException {
		Path log = log("one", "no json");
		assertThat(run("--log", log.toString(), "r1")).isEqualTo(ExitCode.FAILED);
		assertThat(run("r1")).isEqualTo(ExitCode.USAGE);
		assertThat(run("--log", this.folder.resolve("none").toString(), "r1")).isEqualTo(ExitCode.USAGE);
	}

	private ExitCode run(String... arguments) {
		return new ExplainCommand().run(List.of(arguments), new PrintStream(this.out), new PrintStream(this.err));
	}

	private Path log(String name, String... lines) throws IOException {
		return Files.write(this.folder.resolve(name), List.of(lines));
	}

	private static String line(String time, String instance, String kind, String subject, String target, String cause) {
		return "0.1 prefix {\"time\":\"" + time + "\",\"instance\":\"" + instance + "\",\"event\":\"audit\",\"kind\":\""
				+ kind + "\",\"subject\":\"" + subject + "\",\"target\":\"" + target + "\",\"cause\":\"" + cause
				+ "\"}";
	}

}
