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
 * Measures what the path through entry and sidecar adds, against the straight way to the
 * same engine in the same run.
 *
 * @since 0.1
 */
public final class PathCommand implements ProgramCommand {

	private static final double[] PERCENTILES = { 50, 99, 99.9 };

	private static final long REST_MILLIS = 10_000;

	private static final int ROUNDS = 6;

	private static final long STEP_MICROS = 22_000;

	private static final int TOKENS = 100;

	private static final int PLATFORM = 17500;

	private static final int ENGINE = 17501;

	private static final int SIDECAR = 17502;

	private static final int ENTRY = 17503;

	private static final int SIDECAR_OPERATOR = 17504;

	private static final int ENTRY_OPERATOR = 17505;

	@Override
	public String name() {
		return "path";
	}

	@Override
	public String summary() {
		return "[--streams N]  what the path through entry and sidecar adds to the straight way to an engine";
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
		Path directory = settings();
		List<BenchProcess> processes = new ArrayList<>();
		try {
			processes.add(BenchProcess.start(directory.resolve("platform.log"), "bin/laneworks-standin", "platform",
					"--port", String.valueOf(PLATFORM), "--document", directory.resolve("fleet.json").toString()));
			processes.add(BenchProcess.start(directory.resolve("engine.log"), "bin/laneworks-standin", "engine",
					"--port", String.valueOf(ENGINE), "--step", String.valueOf(STEP_MICROS), "--memory", "10000000",
					"--batch", "1000"));
			BenchProcess sidecar = BenchProcess.start(directory.resolve("sidecar.log"), "bin/laneworks-sidecar",
					"--config", directory.resolve("sidecar.json").toString());
			processes.add(sidecar);
			BenchProcess entry = BenchProcess.start(directory.resolve("entry.log"), "bin/laneworks-entry", "--config",
					directory.resolve("entry.json").toString());
			processes.add(entry);
			awaitReady(ENTRY_OPERATOR);
			awaitReady(SIDECAR_OPERATOR);
			atRest(entry, sidecar, out);
			for (int round = 1; round <= ROUNDS; round++) {
				round(round, streams, entry, sidecar, out);
			}
		}
		finally {
			processes.forEach(BenchProcess::close);
		}
	}

	private static void atRest(BenchProcess entry, BenchProcess sidecar, PrintStream out) throws InterruptedException {
		Thread.sleep(REST_MILLIS);
		double entryBefore = entry.cpuSeconds();
		double sidecarBefore = sidecar.cpuSeconds();
		Thread.sleep(REST_MILLIS);
		double seconds = REST_MILLIS / 1e3;
		out.printf("at rest: entry %.4f of a core, %.0f MiB; sidecar %.4f of a core, %.0f MiB resident%n",
				(entry.cpuSeconds() - entryBefore) / seconds, entry.residentMib(),
				(sidecar.cpuSeconds() - sidecarBefore) / seconds, sidecar.residentMib());
	}

	private static void round(int number, int streams, BenchProcess entry, BenchProcess sidecar, PrintStream out)
			throws InterruptedException {
		String body = "{\"model\": \"m\", \"prompt\": \"a question of some length\", \"stream\": true, "
				+ "\"standin_length\": " + TOKENS + "}";
		LoadRun straight = new LoadRun(uri(ENGINE), "", body).run(streams, 2);
		double entryBefore = entry.cpuSeconds();
		double sidecarBefore = sidecar.cpuSeconds();
		LoadRun through = new LoadRun(uri(ENTRY), "bench-key", body).run(streams, 2);
		double entryCpu = entry.cpuSeconds() - entryBefore;
		double sidecarCpu = sidecar.cpuSeconds() - sidecarBefore;
		out.printf("round %d (%s), %d streams, %d and %d tokens, failed %d and %d%n", number,
				(number < ROUNDS) ? "warming up" : "measured", streams, straight.tokens(), through.tokens(),
				straight.failed(), through.failed());
		out.printf("  %-16s %12s %12s %12s%n", "milliseconds", "straight", "through", "added");
		row(out, "first token", straight.firstToken(), through.firstToken());
		row(out, "between tokens", straight.between(), through.between());
		out.printf("  tokens/s         %12.0f %12.0f%n", straight.tokensPerSecond(), through.tokensPerSecond());
		out.printf("  entry:   %.3f of a core, %.1f us a token, %.0f MiB resident%n", entryCpu / through.seconds(),
				1e6 * entryCpu / through.tokens(), entry.residentMib());
		out.printf("  sidecar: %.3f of a core, %.1f us a token, %.0f MiB resident%n", sidecarCpu / through.seconds(),
				1e6 * sidecarCpu / through.tokens(), sidecar.residentMib());
	}

	private static void row(PrintStream out, String name, Histogram straight, Histogram through) {
		for (double percentile : PERCENTILES) {
			double one = straight.getValueAtPercentile(percentile) / 1e3;
			double other = through.getValueAtPercentile(percentile) / 1e3;
			out.printf("  %-16s %12.2f %12.2f %12.2f%n", name + " p" + percentile, one, other, other - one);
		}
	}

	private static Path settings() {
		try {
			Path directory = Files.createTempDirectory("laneworks-bench");
			Files.writeString(directory.resolve("fleet.json"),
					"""
							{"version": 1, "targets": [{"name": "t", "dataCentre": "d", "address": "127.0.0.1:%d", "serves": ["m"]}],
							"accounts": [{"name": "a", "keyDigest": "%s"}], "intents": [{"model": "m"}]}
							"""
						.formatted(SIDECAR, "b0962662e937d44c699c8305d90cbf190b3150c59b13863d1380b5cc3c711bb7"));
			Files.writeString(directory.resolve("sidecar.json"), """
					{"target": "t", "dataCentre": "d", "address": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d",
					"platform": "http://127.0.0.1:%d", "targetAddress": "http://127.0.0.1:%d",
					"admission": {"memoryTokens": 10000000, "maxRunning": 1000}}
					""".formatted(SIDECAR, SIDECAR_OPERATOR, PLATFORM, ENGINE));
			Files.writeString(directory.resolve("entry.json"), """
					{"instance": "e", "dataCentre": "d", "address": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d",
					"platform": "http://127.0.0.1:%d", "secret": "a secret for the bench"}
					""".formatted(ENTRY, ENTRY_OPERATOR, PLATFORM));
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
				// Not up yet.
			}
			Thread.sleep(100);
		}
		throw new IllegalStateException(uri + " did not answer 200 in time");
	}

	private static URI uri(int port) {
		return URI.create("http://127.0.0.1:" + port + "/v1/completions");
	}

}
