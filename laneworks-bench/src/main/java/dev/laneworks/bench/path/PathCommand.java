package dev.laneworks.bench.path;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.ProgramCommand;
import dev.laneworks.standin.client.StreamClient;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.HdrHistogram.Histogram;

/**
 * Command that measures the overhead of the path through entry and sidecar compared with
 * direct requests to the same engine.
 *
 * @since 0.1
 */
public final class PathCommand implements ProgramCommand {

	private static final double[] PERCENTILES = { 50, 99, 99.9 };

	private static final long IDLE_MILLIS = 10_000;

	private static final int ROUNDS = 6;

	private static final long ENGINE_STEP_MICROS = 22_000;

	private static final int OUTPUT_TOKENS = 100;

	private static final int PLATFORM_PORT = 17500;

	private static final int ENGINE_PORT = 17501;

	private static final int SIDECAR_PORT = 17502;

	private static final int ENTRY_PORT = 17503;

	private static final int SIDECAR_OPERATOR_PORT = 17504;

	private static final int ENTRY_OPERATOR_PORT = 17505;

	@Override
	public String name() {
		return "path";
	}

	@Override
	public String summary() {
		return "[--streams N]  measure the overhead of entry and sidecar compared with direct requests to an engine";
	}

	@Override
	public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
		OptionParser parser = new OptionParser();
		OptionSpec<Integer> streams = parser.accepts("streams").withRequiredArg().ofType(Integer.class).defaultsTo(224);
		try {
			OptionSet options = parser.parse(arguments.toArray(new String[0]));
			measure(options.valueOf(streams), out);
			return ExitCode.OK;
		}
		catch (OptionException ex) {
			err.println("path: " + ex.getMessage());
			return ExitCode.USAGE;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return ExitCode.FAILED;
		}
	}

	private static void measure(int streams, PrintStream out) throws InterruptedException {
		Path directory = writeSettings();
		List<BenchProcess> processes = new ArrayList<>();
		try {
			processes.add(BenchProcess.start(directory.resolve("platform.log"), "bin/laneworks-standin", "platform",
					"--port", String.valueOf(PLATFORM_PORT), "--document", directory.resolve("fleet.json").toString()));
			processes.add(BenchProcess.start(directory.resolve("engine.log"), "bin/laneworks-standin", "engine",
					"--port", String.valueOf(ENGINE_PORT), "--step", String.valueOf(ENGINE_STEP_MICROS), "--memory",
					"10000000", "--batch", "1000"));
			BenchProcess sidecar = BenchProcess.start(directory.resolve("sidecar.log"), "bin/laneworks-sidecar",
					"--config", directory.resolve("sidecar.json").toString());
			processes.add(sidecar);
			BenchProcess entry = BenchProcess.start(directory.resolve("entry.log"), "bin/laneworks-entry", "--config",
					directory.resolve("entry.json").toString());
			processes.add(entry);
			awaitReady(ENTRY_OPERATOR_PORT);
			awaitReady(SIDECAR_OPERATOR_PORT);
			measureIdle(entry, sidecar, out);
			for (int round = 1; round <= ROUNDS; round++) {
				measureRound(round, streams, entry, sidecar, out);
			}
		}
		finally {
			processes.forEach(BenchProcess::close);
		}
	}

	private static void measureIdle(BenchProcess entry, BenchProcess sidecar, PrintStream out)
			throws InterruptedException {
		Thread.sleep(IDLE_MILLIS);
		double entryBefore = entry.cpuSeconds();
		double sidecarBefore = sidecar.cpuSeconds();
		Thread.sleep(IDLE_MILLIS);
		double seconds = IDLE_MILLIS / 1e3;
		out.printf("idle: entry %.4f of a core, %.0f MiB; sidecar %.4f of a core, %.0f MiB resident%n",
				(entry.cpuSeconds() - entryBefore) / seconds, entry.residentMib(),
				(sidecar.cpuSeconds() - sidecarBefore) / seconds, sidecar.residentMib());
	}

	private static void measureRound(int number, int streams, BenchProcess entry, BenchProcess sidecar, PrintStream out)
			throws InterruptedException {
		String body = "{\"model\": \"m\", \"prompt\": \"a question of some length\", \"stream\": true, "
				+ "\"standin_length\": " + OUTPUT_TOKENS + "}";
		LoadRun direct = new LoadRun(completionsUri(ENGINE_PORT), "", body).run(streams, 2);
		double entryBefore = entry.cpuSeconds();
		double sidecarBefore = sidecar.cpuSeconds();
		LoadRun routed = new LoadRun(completionsUri(ENTRY_PORT), "bench-key", body).run(streams, 2);
		double entryCpu = entry.cpuSeconds() - entryBefore;
		double sidecarCpu = sidecar.cpuSeconds() - sidecarBefore;
		out.printf("round %d (%s), %d streams, %d and %d tokens, failed %d and %d%n", number,
				(number < ROUNDS) ? "warming up" : "measured", streams, direct.tokens(), routed.tokens(),
				direct.failed(), routed.failed());
		out.printf("  %-16s %12s %12s %12s%n", "milliseconds", "direct", "routed", "added");
		printRow(out, "first token", direct.firstToken(), routed.firstToken());
		printRow(out, "between tokens", direct.tokenInterval(), routed.tokenInterval());
		out.printf("  tokens/s         %12.0f %12.0f%n", direct.tokensPerSecond(), routed.tokensPerSecond());
		out.printf("  entry:   %.3f of a core, %.1f us a token, %.0f MiB resident%n", entryCpu / routed.seconds(),
				1e6 * entryCpu / routed.tokens(), entry.residentMib());
		out.printf("  sidecar: %.3f of a core, %.1f us a token, %.0f MiB resident%n", sidecarCpu / routed.seconds(),
				1e6 * sidecarCpu / routed.tokens(), sidecar.residentMib());
	}

	private static void printRow(PrintStream out, String name, Histogram direct, Histogram routed) {
		for (double percentile : PERCENTILES) {
			double directMillis = direct.getValueAtPercentile(percentile) / 1e3;
			double routedMillis = routed.getValueAtPercentile(percentile) / 1e3;
			out.printf("  %-16s %12.2f %12.2f %12.2f%n", name + " p" + percentile, directMillis, routedMillis,
					routedMillis - directMillis);
		}
	}

	private static Path writeSettings() {
		try {
			Path directory = Files.createTempDirectory("laneworks-bench");
			Files.writeString(directory.resolve("fleet.json"),
					"""
							{"version": 1, "targets": [{"name": "t", "dataCentre": "d", "address": "127.0.0.1:%d", "serves": ["m"]}],
							"accounts": [{"name": "a", "keyDigest": "%s"}], "intents": [{"model": "m"}]}
							"""
						.formatted(SIDECAR_PORT, "b0962662e937d44c699c8305d90cbf190b3150c59b13863d1380b5cc3c711bb7"));
			Files.writeString(directory.resolve("sidecar.json"), """
					{"target": "t", "dataCentre": "d", "address": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d",
					"platform": "http://127.0.0.1:%d", "targetAddress": "http://127.0.0.1:%d",
					"admission": {"memoryTokens": 10000000, "maxRunning": 1000}}
					""".formatted(SIDECAR_PORT, SIDECAR_OPERATOR_PORT, PLATFORM_PORT, ENGINE_PORT));
			Files.writeString(directory.resolve("entry.json"), """
					{"instance": "e", "dataCentre": "d", "address": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d",
					"platform": "http://127.0.0.1:%d", "secret": "a secret for the bench"}
					""".formatted(ENTRY_PORT, ENTRY_OPERATOR_PORT, PLATFORM_PORT));
			return directory;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static void awaitReady(int port) throws InterruptedException {
		URI uri = URI.create("http://127.0.0.1:" + port + "/readyz");
		StreamClient client = new StreamClient("");
		for (int i = 0; i < 200; i++) {
			try {
				if (client.call("GET", uri, "").statusCode() == 200) {
					return;
				}
			}
			catch (IOException ex) {
				// The process does not accept connections yet.
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException(uri + " did not return status 200 before the timeout");
	}

	private static URI completionsUri(int port) {
		return URI.create("http://127.0.0.1:" + port + "/v1/completions");
	}

}
