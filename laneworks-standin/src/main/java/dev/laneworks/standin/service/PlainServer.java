package dev.laneworks.standin.service;

import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.laneworks.runtime.http.JsonText;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;

/**
 * Stands in for a plain service: answers every call after a fixed time with what it was
 * asked and how often.
 *
 * @since 0.1
 */
public final class PlainServer {

	private final Undertow server;

	private final long delayMillis;

	private final ConcurrentHashMap<String, AtomicInteger> calls = new ConcurrentHashMap<>();

	/**
	 * Create a service.
	 * @param address where to listen
	 * @param delayMillis how long each call takes, in milliseconds
	 */
	public PlainServer(InetSocketAddress address, long delayMillis) {
		this.delayMillis = delayMillis;
		this.server = Undertow.builder()
			.setIoThreads(2)
			.setWorkerThreads(4)
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler((e) -> e.getRequestReceiver().receiveFullString(this::answer))
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
	 * Return the port that the service listens on.
	 * @return the port
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void answer(HttpServerExchange exchange, String body) {
		String path = exchange.getRequestPath();
		int count = this.calls.computeIfAbsent(path, (p) -> new AtomicInteger()).incrementAndGet();
		ObjectNode json = JsonText.object()
			.put("method", exchange.getRequestMethod().toString())
			.put("path", path)
			.put("body", body)
			.put("calls", count);
		exchange.dispatch();
		exchange.getIoThread().executeAfter(() -> {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(json.toString());
		}, this.delayMillis, TimeUnit.MILLISECONDS);
	}

}
