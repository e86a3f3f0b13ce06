package dev.laneworks.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Child process that runs a program of the system, controlled by signals.
 */
final class RunningProcess {

	private static final long EXIT_TIMEOUT_SECONDS = 60;

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
		awaitExit();
	}

	void terminate() {
		sendSignal("TERM");
	}

	void pause() {
		sendSignal("STOP");
	}

	void unpause() {
		sendSignal("CONT");
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	int awaitExit() {
		try {
			if (!this.process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException("the process did not exit before the timeout; its log: " + log());
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

	private void sendSignal(String name) {
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
