package dev.laneworks.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A program of the system running as a process of its own.
 */
final class RunningProcess {

	private static final long END_SECONDS = 60;

	private final Process process;

	private final Path log;

	private RunningProcess(Process process, Path log) {
		this.process = process;
		this.log = log;
	}

	static RunningProcess start(String mainClass, Path settings, Path log) {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		List<String> command = new ArrayList<>(List.of(
				Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx128m", "-XX:+UseSerialGC",
				"-XX:TieredStopAtLevel=1", "-cp", classPath, mainClass, "--config", settings.toString()));
		try {
			Process process = new ProcessBuilder(command).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
				.start();
			return new RunningProcess(process, log);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void kill() {
		this.process.destroyForcibly();
		awaitEnd();
	}

	void terminate() {
		signal("TERM");
	}

	void freeze() {
		signal("STOP");
	}

	void wake() {
		signal("CONT");
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	int awaitEnd() {
		try {
			if (!this.process.waitFor(END_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException("the process did not end; its log: " + log());
			}
			return this.process.exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	String log() {
		try {
			return Files.readString(this.log);
		}
		catch (IOException ex) {
			return "no log";
		}
	}

	private void signal(String name) {
		try {
			new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
