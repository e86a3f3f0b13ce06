package dev.laneworks.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;

import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.log.JsonLineWriter;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.standin.client.StreamClient;
import dev.laneworks.standin.client.StreamResult;
import dev.laneworks.standin.engine.EngineServer;
import dev.laneworks.standin.engine.EngineSettings;
import dev.laneworks.standin.platform.PlatformServer;
import dev.laneworks.standin.service.PlainServer;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command-line program that starts a stand-in or sends requests to a running system. Used
 * by tests, benchmarks and the demo.
 * <p>
 * Commands:
 * {@code engine --port P [--memory TOKENS] [--step MICROS] [--batch N] [--seed S] [--numbers]},
 * {@code service --port P [--delay MILLIS]}, {@code platform --port P --document FILE},
 * {@code ask --url URL --key KEY --model M --prompt TEXT},
 * {@code call --method M --url URL [--key KEY] [--body TEXT]} and
 * {@code await --url URL}.
 *
 * @since 0.1
 */
public final class StandinMain {

	private static final int MAX_AWAIT_ATTEMPTS = 300;

	private static final long AWAIT_INTERVAL_MILLIS = 100;

	private static final int HTTP_OK = 200;

	private static final String LOOPBACK = "127.0.0.1";

	private final OptionParser parser = new OptionParser();

	private final OptionSpec<Integer> port = this.parser.accepts("port", "the port to listen on, 0 for a free one")
		.withRequiredArg()
		.ofType(Integer.class)
		.defaultsTo(0);

	private final OptionSpec<Long> memory = this.parser.accepts("memory", "the engine's memory size in tokens")
		.withRequiredArg()
		.ofType(Long.class)
		.defaultsTo(EngineSettings.defaults().capacityTokens());

	private final OptionSpec<Long> step = this.parser.accepts("step", "the fixed duration of a step in microseconds")
		.withRequiredArg()
		.ofType(Long.class)
		.defaultsTo(EngineSettings.defaults().stepMicros());

	private final OptionSpec<Integer> batch = this.parser
		.accepts("batch", "the maximum number of generations in a step")
		.withRequiredArg()
		.ofType(Integer.class)
		.defaultsTo(EngineSettings.defaults().maxBatch());

	private final OptionSpec<Long> seed = this.parser.accepts("seed", "the random seed for output lengths")
		.withRequiredArg()
		.ofType(Long.class)
		.defaultsTo(1L);

	private final OptionSpec<Void> numberedTokens = this.parser.accepts("numbers",
			"use the generation's name and the offset as token text instead of words");

	private final OptionSpec<Long> delay = this.parser.accepts("delay", "the delay of a response in milliseconds")
		.withRequiredArg()
		.ofType(Long.class)
		.defaultsTo(5L);

	private final OptionSpec<String> document = this.parser.accepts("document", "the configuration document to serve")
		.withRequiredArg();

	private final OptionSpec<String> url = this.parser.accepts("url", "the URL to call").withRequiredArg();

	private final OptionSpec<String> key = this.parser.accepts("key", "the API key").withRequiredArg().defaultsTo("");

	private final OptionSpec<String> model = this.parser.accepts("model", "the model").withRequiredArg();

	private final OptionSpec<String> prompt = this.parser.accepts("prompt", "the prompt").withRequiredArg();

	private final OptionSpec<String> method = this.parser.accepts("method", "the HTTP method")
		.withRequiredArg()
		.defaultsTo("GET");

	private final OptionSpec<String> body = this.parser.accepts("body", "the request body")
		.withRequiredArg()
		.defaultsTo("");

	private StandinMain() {
	}

	/**
	 * Run a command and exit with its status.
	 * @param arguments the command followed by its options
	 */
	public static void main(String[] arguments) {
		System.exit(new StandinMain().run(arguments).code());
	}

	private ExitCode run(String[] arguments) {
		if (arguments.length == 0) {
			return usage("a command is missing");
		}
		try {
			OptionSet options = this.parser.parse(Arrays.copyOfRange(arguments, 1, arguments.length));
			return run(arguments[0], options);
		}
		catch (OptionException ex) {
			return usage(ex.getMessage());
		}
		catch (IOException ex) {
			System.err.println("laneworks-standin " + arguments[0] + ": " + ex.getMessage());
			return ExitCode.FAILED;
		}
	}

	private ExitCode run(String command, OptionSet options) throws IOException {
		JsonLineWriter.setInstanceName("standin-" + command);
		return switch (command) {
			case "engine" -> engine(options);
			case "service" -> service(options);
			case "platform" -> platform(options);
			case "ask" -> ask(options);
			case "call" -> call(options);
			case "await" -> await(options);
			default -> usage("'" + command + "' is not a command");
		};
	}

	private ExitCode engine(OptionSet options) {
		EngineSettings defaultSettings = EngineSettings.defaults();
		EngineSettings settings = new EngineSettings(options.valueOf(this.memory), options.valueOf(this.batch),
				options.valueOf(this.step), defaultSettings.stepMicrosPerSequence(),
				defaultSettings.prefillMicrosPerToken(), defaultSettings.prefillTokensPerStep(),
				defaultSettings.prefixCacheTokens(), defaultSettings.medianLength(), defaultSettings.lengthSigma(),
				defaultSettings.reportLagMillis(), defaultSettings.eventLagMillis(), defaultSettings.eventLossRate(),
				options.has(this.numberedTokens), options.valueOf(this.seed));
		EngineServer server = new EngineServer(address(options), settings);
		server.start();
		return awaitTermination("engine", server.port());
	}

	private ExitCode service(OptionSet options) {
		PlainServer server = new PlainServer(address(options), options.valueOf(this.delay));
		server.start();
		return awaitTermination("service", server.port());
	}

	private ExitCode platform(OptionSet options) throws IOException {
		PlatformServer server = new PlatformServer(address(options));
		if (options.has(this.document)) {
			server.publish(Files.readString(Path.of(options.valueOf(this.document))));
		}
		server.start();
		return awaitTermination("platform", server.port());
	}

	private ExitCode ask(OptionSet options) throws IOException {
		StreamClient client = new StreamClient(options.valueOf(this.key));
		String request = JsonText.object()
			.put("model", options.valueOf(this.model))
			.put("prompt", options.valueOf(this.prompt))
			.put("stream", true)
			.toString();
		StreamResult result = client.stream(URI.create(options.valueOf(this.url) + "/v1/completions"), request,
				StandinMain::printAndFlush);
		System.out.println();
		if (!result.isComplete()) {
			System.err
				.println("status " + result.status() + ": " + result.problem().orElse("the response was cut off"));
			return ExitCode.FAILED;
		}
		double firstMillis = (result.tokenNanos()[0] - result.startNanos()) / 1e6;
		System.out.printf("-- %d tokens, whole; first after %.0f ms; ran on %s: %s%n", result.tokens().size(),
				firstMillis, result.target(), result.route());
		return ExitCode.OK;
	}

	private ExitCode call(OptionSet options) throws IOException {
		var response = new StreamClient(options.valueOf(this.key)).call(options.valueOf(this.method),
				URI.create(options.valueOf(this.url)), options.valueOf(this.body));
		System.out.println(response.body().stripTrailing());
		return (response.statusCode() / 100 == 2) ? ExitCode.OK : ExitCode.FAILED;
	}

	private ExitCode await(OptionSet options) throws IOException {
		URI uri = URI.create(options.valueOf(this.url));
		StreamClient client = new StreamClient("");
		for (int i = 0; i < MAX_AWAIT_ATTEMPTS; i++) {
			try {
				if (client.call("GET", uri, "").statusCode() == HTTP_OK) {
					return ExitCode.OK;
				}
			}
			catch (IOException ex) {
				// The server does not accept connections yet.
			}
			sleepBetweenAttempts();
		}
		System.err.println(uri + " did not return status 200 before the timeout");
		return ExitCode.FAILED;
	}

	private InetSocketAddress address(OptionSet options) {
		return new InetSocketAddress(LOOPBACK, options.valueOf(this.port));
	}

	private static void printAndFlush(String text) {
		System.out.print(text);
		System.out.flush();
	}

	private static ExitCode awaitTermination(String name, int listeningPort) {
		System.out.println(name + " listens on " + LOOPBACK + ':' + listeningPort);
		try {
			new CountDownLatch(1).await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		return ExitCode.OK;
	}

	private static void sleepBetweenAttempts() {
		try {
			Thread.sleep(AWAIT_INTERVAL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private ExitCode usage(String problem) {
		System.err.println("laneworks-standin: " + problem
				+ "; commands: engine, service, platform, ask, call, await, each with the options below");
		try {
			this.parser.printHelpOn(System.err);
		}
		catch (IOException ex) {
			throw new IllegalStateException("the usage text cannot be printed", ex);
		}
		return ExitCode.USAGE;
	}

}
