package dev.laneworks.standin.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Child process that runs a program of the system, controlled by signals.
 *
 * @since 0.5
 */
public final class RunningProcess {

	private static final long EXIT_TIMEOUT_SECONDS = 60;

	private final Process process;

	private final Path log;

	private RunningProcess(Process process, Path log) {
		this.process = process;
		this.log = log;
	}

	/**
	 * Start a program with the class path of this process.
	 * @param mainClass the name of the main class
	 * @param settings the settings file of the program
	 * @param log the file that its output is appended to
	 * @return the running process
	 */
	public static RunningProcess start(String mainClass, Path settings, Path log) {
		return start(mainClass, settings, log, List.of("-Xmx128m"));
	}

	/**
	 * Start a program with the class path of this process and options of its own.
	 * @param mainClass the name of the main class
	 * @param settings the settings file of the program
	 * @param log the file that its output is appended to
	 * @param options the options of the virtual machine
	 * @return the running process
	 * @since 0.7
	 */
	public static RunningProcess start(String mainClass, Path settings, Path log, List<String> options) {
		String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(options);
		command.addAll(List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", classPath, mainClass, "--config",
				settings.toString()));
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

	/**
	 * End the process without notice and wait until it has ended.
	 */
	public void kill() {
		this.process.destroyForcibly();
		awaitExit();
	}

	/**
	 * Request a graceful shutdown.
	 */
	public void terminate() {
		sendSignal("TERM");
	}

	/**
	 * Pause the process until {@link #unpause()}.
	 */
	public void pause() {
		sendSignal("STOP");
	}

	/**
	 * Make the process read its settings again.
	 */
	public void reload() {
		sendSignal("HUP");
	}

	/**
	 * Resume a paused process.
	 */
	public void unpause() {
		sendSignal("CONT");
	}

	/**
	 * Determine whether the process runs.
	 * @return {@code false} once it has ended
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	/**
	 * Wait until the process has ended.
	 * @return the exit code
	 */
	public int awaitExit() {
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

	/**
	 * Wait for a time until the process has ended.
	 * @param timeoutMillis the longest time to wait, in milliseconds
	 * @return {@code true} if it has ended
	 * @since 0.7
	 */
	public boolean awaitExit(long timeoutMillis) {
		try {
			return this.process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/**
	 * Return the output of the process.
	 * @return the content of its log file
	 */
	public String log() {
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
