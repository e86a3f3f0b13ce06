package dev.laneworks.processtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.JsonNode;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.standin.client.StreamClient;
import dev.laneworks.standin.engine.EngineServer;
import dev.laneworks.standin.engine.EngineSettings;
import dev.laneworks.standin.forward.Forwarder;
import dev.laneworks.standin.platform.PlatformServer;
import dev.laneworks.standin.process.RunningProcess;
import dev.laneworks.standin.service.PlainServer;

/**
 * Test fleet: two entries and three sidecars as child processes. The targets, the
 * platform and a forwarder in front of each sidecar run in the test's process.
 */
final class Fleet implements AutoCloseable {

	static final String KEY = "test-key";

	private static final String KEY_DIGEST = "62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef";

	private static final long AWAIT_TIMEOUT_MILLIS = 30_000;

	private static final long AWAIT_INTERVAL_MILLIS = 20;

	private static final int HTTP_OK = 200;

	private static final AtomicInteger NEXT_PORT = new AtomicInteger(21_000);

	private final Path directory;

	private final PlatformServer platform = new PlatformServer(freeAddress());

	private final EngineServer[] engines = new EngineServer[2];

	private final PlainServer service = new PlainServer(freeAddress(), 5);

	private final Forwarder[] forwarders = new Forwarder[2];

	private final int[] sidecarPorts = new int[2];

	private final int[] sidecarOperatorPorts = new int[2];

	private final int[] entryPorts = new int[2];

	private final int[] entryOperatorPorts = new int[2];

	private final RunningProcess[] sidecars = new RunningProcess[2];

	private final RunningProcess[] entries = new RunningProcess[2];

	private final List<RunningProcess> startedProcesses = new ArrayList<>();

	private Forwarder serviceForwarder;

	private RunningProcess serviceSidecar;

	private int serviceOperatorPort;

	Fleet(long stepMicros) {
		try {
			this.directory = Files.createTempDirectory("laneworks");
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		EngineSettings defaultSettings = EngineSettings.defaults();
		EngineSettings settings = new EngineSettings(defaultSettings.capacityTokens(), defaultSettings.maxBatch(),
				stepMicros, 0, 0, defaultSettings.prefillTokensPerStep(), 0, defaultSettings.medianLength(),
				defaultSettings.lengthSigma(), 50, 50, 0, true, 1);
		this.platform.start();
		this.service.start();
		for (int i = 0; i < 2; i++) {
			this.engines[i] = new EngineServer(freeAddress(), settings);
			this.engines[i].start();
			this.sidecarPorts[i] = freeAddress().getPort();
			this.sidecarOperatorPorts[i] = freeAddress().getPort();
			this.entryPorts[i] = freeAddress().getPort();
			this.entryOperatorPorts[i] = freeAddress().getPort();
			this.forwarders[i] = new Forwarder(
					new InetSocketAddress(InetAddress.getLoopbackAddress(), this.sidecarPorts[i]));
		}
	}

	// Starts all processes and waits until both entries are connected to all targets.
	Fleet start() {
		publish(document(1, ""));
		startServiceSidecar();
		for (int i = 0; i < 2; i++) {
			startSidecar(i);
			startEntry(i);
		}
		awaitServing();
		return this;
	}

	void awaitServing() {
		for (int i = 0; i < 2; i++) {
			int index = i;
			await("entry " + i + " is linked to all targets", () -> {
				JsonNode status = status(entryStatusUri(index));
				int linked = 0;
				for (JsonNode target : status.path("targets")) {
					linked += target.path("linked").asBoolean() ? 1 : 0;
				}
				return linked == 3;
			});
		}
	}

	void startEntry(int index) {
		String text = """
				{"instance": "entry-%d", "dataCentre": "d1", "address": "127.0.0.1:%d",
				"operatorAddress": "127.0.0.1:%d", "platform": "http://127.0.0.1:%d", "watchWait": "2s",
				"secret": "a secret for tests only",
				"limits": {"body": "64KiB", "head": "4KiB", "headers": 30, "request": "1s"},
				"seeds": [{"address": "127.0.0.1:%d"}, {"address": "127.0.0.1:%d"}]}
				""".formatted(index, this.entryPorts[index], this.entryOperatorPorts[index], this.platform.port(),
				this.forwarders[0].port(), this.forwarders[1].port());
		this.entries[index] = launch("dev.laneworks.entry.EntryMain", "entry-" + index, text);
	}

	void startSidecar(int index) {
		this.sidecars[index] = launch("dev.laneworks.sidecar.SidecarMain", "t" + index, sidecarSettings("t" + index,
				this.sidecarPorts[index], this.sidecarOperatorPorts[index], this.engines[index].port()));
	}

	// Returns the configuration document with additional members after the version.
	String document(long version, String additionalMembers) {
		return """
				{"version": %d, %s
				"keys": {"retryWindow": "2s", "viewAge": "30s", "serviceStaleness": "1s"},
				"services": [{"name": "lookup", "repeatableMethods": ["GET"]}],
				"targets": [
				{"name": "t0", "dataCentre": "d1", "address": "127.0.0.1:%d", "serves": ["m"]},
				{"name": "t1", "dataCentre": "d1", "address": "127.0.0.1:%d", "serves": ["m"]},
				{"name": "s0", "dataCentre": "d1", "address": "127.0.0.1:%d", "serves": ["lookup"]}],
				"accounts": [{"name": "a", "keyDigest": "%s"}],
				"intents": [{"model": "m"}, {"model": "lookup"}]}
				""".formatted(version, additionalMembers, this.forwarders[0].port(), this.forwarders[1].port(),
				this.serviceForwarder().port(), KEY_DIGEST);
	}

	void publish(String text) {
		this.platform.publish(text);
	}

	PlatformServer platform() {
		return this.platform;
	}

	EngineServer engine(int index) {
		return this.engines[index];
	}

	Forwarder forwarder(int index) {
		return this.forwarders[index];
	}

	RunningProcess sidecar(int index) {
		return this.sidecars[index];
	}

	RunningProcess entry(int index) {
		return this.entries[index];
	}

	URI entryUri(int index, String path) {
		return URI.create("http://127.0.0.1:" + this.entryPorts[index] + path);
	}

	URI entryStatusUri(int index) {
		return URI.create("http://127.0.0.1:" + this.entryOperatorPorts[index] + "/status");
	}

	URI sidecarStatusUri(int index) {
		return URI.create("http://127.0.0.1:" + this.sidecarOperatorPorts[index] + "/status");
	}

	JsonNode status(URI uri) {
		try {
			var response = new StreamClient("").call("GET", uri, "");
			return (response.statusCode() == HTTP_OK) ? JsonText.read(response.body()) : JsonText.object();
		}
		catch (IOException ex) {
			return JsonText.object();
		}
	}

	// Returns the number of executions of each generation at an engine.
	JsonNode executionCounts(int engine) {
		return status(URI.create("http://127.0.0.1:" + this.engines[engine].port() + "/v1/runs"));
	}

	JsonNode load(int engine) {
		return status(URI.create("http://127.0.0.1:" + this.engines[engine].port() + "/v1/load"));
	}

	static void await(String condition, BooleanSupplier predicate) {
		long deadline = System.nanoTime() + AWAIT_TIMEOUT_MILLIS * 1_000_000;
		while (!predicate.getAsBoolean()) {
			if (System.nanoTime() > deadline) {
				throw new AssertionError("timed out waiting until " + condition);
			}
			sleep(AWAIT_INTERVAL_MILLIS);
		}
	}

	@Override
	public void close() {
		this.startedProcesses.forEach(RunningProcess::unpause);
		this.startedProcesses.forEach(RunningProcess::kill);
		this.platform.stop();
		this.service.stop();
		for (int i = 0; i < 2; i++) {
			this.engines[i].stop();
			this.forwarders[i].close();
		}
		this.serviceForwarder.close();
	}

	private Forwarder serviceForwarder() {
		if (this.serviceForwarder == null) {
			this.serviceForwarder = new Forwarder(freeAddress());
			this.serviceOperatorPort = freeAddress().getPort();
		}
		return this.serviceForwarder;
	}

	private void startServiceSidecar() {
		int port = freeAddress().getPort();
		this.serviceForwarder.close();
		this.serviceForwarder = new Forwarder(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
		publish(document(1, ""));
		this.serviceSidecar = launch("dev.laneworks.sidecar.SidecarMain", "s0",
				sidecarSettings("s0", port, this.serviceOperatorPort, this.service.port()));
	}

	private String sidecarSettings(String target, int port, int operatorPort, int targetPort) {
		return """
				{"target": "%s", "dataCentre": "d1", "address": "127.0.0.1:%d", "operatorAddress": "127.0.0.1:%d",
				"platform": "http://127.0.0.1:%d", "watchWait": "2s", "targetAddress": "http://127.0.0.1:%d"}
				""".formatted(target, port, operatorPort, this.platform.port(), targetPort);
	}

	private RunningProcess launch(String mainClass, String name, String settings) {
		try {
			Path file = Files.writeString(this.directory.resolve(name + ".json"), settings);
			RunningProcess process = RunningProcess.start(mainClass, file, this.directory.resolve(name + ".log"));
			this.startedProcesses.add(process);
			return process;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// Returns a free port below the ephemeral range, which no outgoing connection can
	// occupy.
	private static InetSocketAddress freeAddress() {
		while (true) {
			int port = NEXT_PORT.getAndIncrement();
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
			}
			catch (IOException ex) {
				// The port is in use. Try the next one.
			}
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
