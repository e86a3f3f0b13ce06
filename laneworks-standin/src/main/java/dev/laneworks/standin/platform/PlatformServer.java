package dev.laneworks.standin.platform;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.laneworks.core.configuration.ConfigurationParser;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.platform.LiveInstance;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;

/**
 * Stand-in for the platform: a configuration service with long polling, and a list of
 * live instances. Used by tests, benchmarks and the demo.
 * <p>
 * {@code PUT /publish} replaces the configuration document without validating it, because
 * its consumers validate it. {@code PUT /instances} replaces the list of live instances.
 * {@code PUT /fault?mode=none|down|stale} injects a {@link Fault}. {@code GET /calls}
 * returns the number of requests for the configuration and the list. Thread-safe.
 *
 * @since 0.1
 */
public final class PlatformServer {

	private static final long MAX_WAIT_SECONDS = 60;

	private final Undertow server;

	private final AtomicLong requestCount = new AtomicLong();

	private final List<Watch> watches = new ArrayList<>();

	private final Map<String, LiveInstance> instances = new LinkedHashMap<>();

	private Fault fault = Fault.NONE;

	private Document latestDocument = new Document(0, "");

	private Document servedDocument = this.latestDocument;

	/**
	 * Create a platform without a configuration document and without instances.
	 * @param address the address to listen on
	 */
	public PlatformServer(InetSocketAddress address) {
		this.server = Undertow.builder()
			.setIoThreads(2)
			.setWorkerThreads(4)
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler(Handlers.routing()
				.get("/configuration", this::handleConfiguration)
				.get("/instances", this::handleInstances)
				.get("/calls", (e) -> e.getResponseSender().send(String.valueOf(this.requestCount.get())))
				.put("/publish",
						(e) -> e.getRequestReceiver().receiveFullString(this::handlePublish, StandardCharsets.UTF_8))
				.put("/instances",
						(e) -> e.getRequestReceiver()
							.receiveFullString(this::handleSetInstances, StandardCharsets.UTF_8))
				.put("/fault", this::handleSetFault))
			.build();
	}

	/**
	 * Start to accept connections.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * Stop the server and close all connections.
	 */
	public void stop() {
		this.server.stop();
	}

	/**
	 * Return the port that the platform listens on.
	 * @return the TCP port, also if the address asked for a free one
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	/**
	 * Publish a configuration document and answer the pending long polls for it. An
	 * invalid document is published under the next version.
	 * @param text the document, not necessarily valid
	 */
	public void publish(String text) {
		long version = ConfigurationParser.parse("published", text)
			.map((c) -> c.version())
			.getOrElse(() -> nextVersion());
		List<Watch> ready;
		synchronized (this) {
			this.latestDocument = new Document(version, text);
			if (this.fault == Fault.NONE) {
				this.servedDocument = this.latestDocument;
			}
			ready = removeReadyWatches();
		}
		ready.forEach((w) -> respond(w.exchange()));
	}

	/**
	 * Inject a fault, or clear it.
	 * @param newFault the fault, or {@link Fault#NONE} to clear it
	 */
	public void setFault(Fault newFault) {
		List<Watch> ready;
		synchronized (this) {
			this.fault = newFault;
			if (newFault == Fault.NONE) {
				this.servedDocument = this.latestDocument;
			}
			ready = (newFault == Fault.DOWN) ? removeAllWatches() : removeReadyWatches();
		}
		ready.forEach((w) -> respond(w.exchange()));
	}

	/**
	 * Return the number of requests for the configuration and the list of instances.
	 * @return the number of requests since the start
	 */
	public long requestCount() {
		return this.requestCount.get();
	}

	private synchronized long nextVersion() {
		return this.latestDocument.version() + 1;
	}

	private void handleConfiguration(HttpServerExchange exchange) {
		this.requestCount.incrementAndGet();
		long after = Long.parseLong(parameter(exchange, "after", "0"));
		long wait = Math.min(MAX_WAIT_SECONDS, Long.parseLong(parameter(exchange, "wait", "0")));
		exchange.dispatch();
		synchronized (this) {
			if (this.fault != Fault.DOWN && this.servedDocument.version() <= after && wait > 0) {
				Watch watch = new Watch(exchange, after);
				this.watches.add(watch);
				exchange.getIoThread().executeAfter(() -> expire(watch), wait, TimeUnit.SECONDS);
				return;
			}
		}
		respond(exchange);
	}

	private void expire(Watch watch) {
		synchronized (this) {
			if (!this.watches.remove(watch)) {
				return;
			}
		}
		respond(watch.exchange());
	}

	private void respond(HttpServerExchange exchange) {
		Document current;
		synchronized (this) {
			current = this.servedDocument;
			if (this.fault == Fault.DOWN) {
				exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
				exchange.getResponseSender().send("down");
				return;
			}
		}
		long after = Long.parseLong(parameter(exchange, "after", "0"));
		ObjectNode json = JsonText.object().put("version", current.version());
		if (current.version() > after) {
			json.put("document", current.text());
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(json.toString());
	}

	private List<Watch> removeReadyWatches() {
		List<Watch> ready = this.watches.stream().filter((w) -> this.servedDocument.version() > w.after()).toList();
		this.watches.removeAll(ready);
		return ready;
	}

	private List<Watch> removeAllWatches() {
		List<Watch> all = List.copyOf(this.watches);
		this.watches.clear();
		return all;
	}

	private void handleInstances(HttpServerExchange exchange) {
		this.requestCount.incrementAndGet();
		List<ObjectNode> instanceNodes = new ArrayList<>();
		synchronized (this) {
			String name = parameter(exchange, "name", "");
			for (LiveInstance instance : this.instances.values()) {
				if (!name.isEmpty() && !name.equals(instance.name())) {
					continue;
				}
				instanceNodes.add(JsonText.object()
					.put("name", instance.name())
					.put("state", instance.leaving() ? "leaving" : "live"));
			}
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(JsonText.write(instanceNodes));
	}

	private void handlePublish(HttpServerExchange exchange, String text) {
		publish(text);
		exchange.getResponseSender().send("published\n");
	}

	// The body has one line per instance: its name and "live" or "leaving".
	private void handleSetInstances(HttpServerExchange exchange, String text) {
		synchronized (this) {
			this.instances.clear();
			text.lines().filter((l) -> !l.isBlank()).forEach((l) -> {
				String[] fields = l.strip().split("\\s+");
				this.instances.put(fields[0],
						new LiveInstance(fields[0], fields.length > 1 && fields[1].equals("leaving")));
			});
		}
		exchange.getResponseSender().send("set\n");
	}

	private void handleSetFault(HttpServerExchange exchange) {
		setFault(Fault.valueOf(parameter(exchange, "mode", "none").toUpperCase(Locale.ROOT)));
		exchange.getResponseSender().send("set\n");
	}

	private static String parameter(HttpServerExchange exchange, String name, String fallback) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null && !values.isEmpty()) ? values.getFirst() : fallback;
	}

	/**
	 * Fault of the configuration service.
	 */
	public enum Fault {

		/** The service works normally. */
		NONE,

		/** The service answers each request for the configuration with status 503. */
		DOWN,

		/**
		 * The service returns the document that was current when the fault was injected.
		 */
		STALE

	}

	private record Document(long version, String text) {

	}

	private record Watch(HttpServerExchange exchange, long after) {

	}

}
