package dev.laneworks.bench.path;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Program started for a measurement, with its processor time and memory as the operating
 * system reports them.
 */
final class BenchProcess implements AutoCloseable {

	/** Unit of processor time in {@code /proc/PID/stat}. */
	private static final double CLOCK_TICKS_PER_SECOND = 100;

	private static final int USER_TICKS_FIELD = 11;

	private static final int SYSTEM_TICKS_FIELD = 12;

	private final Process process;

	private BenchProcess(Process process) {
		this.process = process;
	}

	static BenchProcess start(Path log, String... command) {
		try {
			return new BenchProcess(new ProcessBuilder(new ArrayList<>(List.of(command))).redirectErrorStream(true)
				.redirectOutput(log.toFile())
				.start());
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot start " + command[0], ex);
		}
	}

	double cpuSeconds() {
		String stat = read("stat");
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
				/ CLOCK_TICKS_PER_SECOND;
	}

	double residentMib() {
		return read("status").lines()
			.filter((l) -> l.startsWith("VmRSS:"))
			.mapToLong((l) -> Long.parseLong(l.replaceAll("\\D", "")))
			.sum() / 1024.0;
	}

	@Override
	public void close() {
		this.process.destroy();
	}

	private String read(String file) {
		try {
			return Files.readString(Path.of("/proc", String.valueOf(this.process.pid()), file));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot read the process status; the process may have ended", ex);
		}
	}

}
