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
 * Stand-in for a plain service. Responds to each request after a fixed delay with the
 * request's method, path and body and the number of requests for the path so far.
 *
 * @since 0.1
 */
public final class PlainServer {

	private final Undertow server;

	private final long delayMillis;

	private final ConcurrentHashMap<String, AtomicInteger> requestCounts = new ConcurrentHashMap<>();

	/**
	 * Create a service.
	 * @param address the address to listen on
	 * @param delayMillis the delay of each response, in milliseconds
	 */
	public PlainServer(InetSocketAddress address, long delayMillis) {
		this.delayMillis = delayMillis;
		this.server = Undertow.builder()
			.setIoThreads(2)
			.setWorkerThreads(4)
			.addHttpListener(address.getPort(), address.getHostString())
			.setHandler((e) -> e.getRequestReceiver().receiveFullString(this::respond))
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
	 * Return the port that the service listens on.
	 * @return the TCP port, also if the address asked for a free one
	 */
	public int port() {
		return ((InetSocketAddress) this.server.getListenerInfo().get(0).getAddress()).getPort();
	}

	private void respond(HttpServerExchange exchange, String body) {
		String path = exchange.getRequestPath();
		int count = this.requestCounts.computeIfAbsent(path, (p) -> new AtomicInteger()).incrementAndGet();
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
