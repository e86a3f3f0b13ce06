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
 * Stands in for the platform: a configuration service that can be read and watched, and a
 * live list.
 * <p>
 * The publishing tool of the platform is {@code PUT /publish} with the document, which is
 * not checked: checking is up to those who read it. {@code PUT /instances} sets the live
 * list. {@code PUT /fault?mode=none|down|stale} makes the service fail, or answer with
 * the document it held when the fault began. {@code GET /calls} counts the calls of
 * readers.
 *
 * @since 0.1
 */
public final class PlatformServer {

	private static final long MAX_WAIT_SECONDS = 60;

	private final Undertow server;

	private final AtomicLong calls = new AtomicLong();

	private final List<Watch> watches = new ArrayList<>();

	private final Map<String, LiveInstance> instances = new LinkedHashMap<>();

	private Fault fault = Fault.NONE;

	private Document document = new Document(0, "");

	private Document shown = this.document;

	/**
	 * Create a platform that holds nothing.
	 * @param address where to listen
	 */
	public PlatformServer(InetSocketAddress address) {
		this.server = Undertow.builder()
			.setIoThreads(2)
			.setWorkerThreads(4)
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler(Handlers.routing()
				.get("/configuration", this::configuration)
				.get("/instances", this::instances)
				.get("/calls", (e) -> e.getResponseSender().send(String.valueOf(this.calls.get())))
				.put("/publish", (e) -> e.getRequestReceiver().receiveFullString(this::publish, StandardCharsets.UTF_8))
				.put("/instances",
						(e) -> e.getRequestReceiver().receiveFullString(this::setInstances, StandardCharsets.UTF_8))
				.put("/fault", this::setFault))
			.build();
	}

	/**
	 * Start to serve.
	 */
	public void start() {
		this.server.start();
	}

	/**
	 * End serving at once.
	 */
	public void stop() {
		this.server.stop();
	}

	/**
	 * Return the port that the platform listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	/**
	 * Hold a document from now on.
	 * @param text the document
	 */
	public void publish(String text) {
		long version = ConfigurationParser.parse("published", text)
			.map((c) -> c.version())
			.getOrElse(() -> nextVersion());
		List<Watch> ready;
		synchronized (this) {
			this.document = new Document(version, text);
			if (this.fault == Fault.NONE) {
				this.shown = this.document;
			}
			ready = takeReady();
		}
		ready.forEach((w) -> answer(w.exchange()));
	}

	/**
	 * Make the service fail from now on, or work again.
	 * @param newFault how it fails
	 */
	public void setFault(Fault newFault) {
		List<Watch> ready;
		synchronized (this) {
			this.fault = newFault;
			if (newFault == Fault.NONE) {
				this.shown = this.document;
			}
			ready = (newFault == Fault.DOWN) ? takeAll() : takeReady();
		}
		ready.forEach((w) -> answer(w.exchange()));
	}

	/**
	 * Return how many calls readers made.
	 * @return the count since the start
	 */
	public long calls() {
		return this.calls.get();
	}

	private synchronized long nextVersion() {
		return this.document.version() + 1;
	}

	private void configuration(HttpServerExchange exchange) {
		this.calls.incrementAndGet();
		long after = Long.parseLong(parameter(exchange, "after", "0"));
		long wait = Math.min(MAX_WAIT_SECONDS, Long.parseLong(parameter(exchange, "wait", "0")));
		exchange.dispatch();
		synchronized (this) {
			if (this.fault != Fault.DOWN && this.shown.version() <= after && wait > 0) {
				Watch watch = new Watch(exchange, after);
				this.watches.add(watch);
				exchange.getIoThread().executeAfter(() -> expire(watch), wait, TimeUnit.SECONDS);
				return;
			}
		}
		answer(exchange);
	}

	private void expire(Watch watch) {
		synchronized (this) {
			if (!this.watches.remove(watch)) {
				return;
			}
		}
		answer(watch.exchange());
	}

	private void answer(HttpServerExchange exchange) {
		Document now;
		synchronized (this) {
			now = this.shown;
			if (this.fault == Fault.DOWN) {
				exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
				exchange.getResponseSender().send("down");
				return;
			}
		}
		long after = Long.parseLong(parameter(exchange, "after", "0"));
		ObjectNode json = JsonText.object().put("version", now.version());
		if (now.version() > after) {
			json.put("document", now.text());
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(json.toString());
	}

	private List<Watch> takeReady() {
		List<Watch> ready = this.watches.stream().filter((w) -> this.shown.version() > w.after()).toList();
		this.watches.removeAll(ready);
		return ready;
	}

	private List<Watch> takeAll() {
		List<Watch> all = List.copyOf(this.watches);
		this.watches.clear();
		return all;
	}

	private void instances(HttpServerExchange exchange) {
		this.calls.incrementAndGet();
		List<ObjectNode> shownInstances = new ArrayList<>();
		synchronized (this) {
			String name = parameter(exchange, "name", "");
			for (LiveInstance instance : this.instances.values()) {
				if (!name.isEmpty() && !name.equals(instance.name())) {
					continue;
				}
				shownInstances.add(JsonText.object()
					.put("name", instance.name())
					.put("state", instance.leaving() ? "leaving" : "live"));
			}
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(JsonText.write(shownInstances));
	}

	private void publish(HttpServerExchange exchange, String text) {
		publish(text);
		exchange.getResponseSender().send("published\n");
	}

	// The body has a line for each instance: its name and "live" or "leaving".
	private void setInstances(HttpServerExchange exchange, String text) {
		synchronized (this) {
			this.instances.clear();
			text.lines().filter((l) -> !l.isBlank()).forEach((l) -> {
				String[] words = l.strip().split("\\s+");
				this.instances.put(words[0],
						new LiveInstance(words[0], words.length > 1 && words[1].equals("leaving")));
			});
		}
		exchange.getResponseSender().send("set\n");
	}

	private void setFault(HttpServerExchange exchange) {
		setFault(Fault.valueOf(parameter(exchange, "mode", "none").toUpperCase(Locale.ROOT)));
		exchange.getResponseSender().send("set\n");
	}

	private static String parameter(HttpServerExchange exchange, String name, String fallback) {
		Deque<String> values = exchange.getQueryParameters().get(name);
		return (values != null && !values.isEmpty()) ? values.getFirst() : fallback;
	}

	/**
	 * How the service fails.
	 */
	public enum Fault {

		/** It works. */
		NONE,

		/** It answers every call with 503. */
		DOWN,

		/** It goes on with the document it held when the fault began. */
		STALE

	}

	private record Document(long version, String text) {

	}

	private record Watch(HttpServerExchange exchange, long after) {

	}

}
