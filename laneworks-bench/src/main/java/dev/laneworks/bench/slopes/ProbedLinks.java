package dev.laneworks.bench.slopes;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.wire.FrameCodec;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.LinkListener;
import dev.laneworks.wire.LinkServer;
import dev.laneworks.wire.LinkSettings;
import dev.laneworks.wire.PeerIdentity;
import dev.laneworks.wire.TargetLinkListener;
import dev.laneworks.wire.TargetLinks;
import dev.laneworks.wire.proto.Protocol;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Links to one server that are probed periodically, with the processor time of their
 * event loops.
 */
final class ProbedLinks implements AutoCloseable, TargetLinkListener, LinkListener {

	private static final Duration PROBE_INTERVAL = Duration.ofMillis(100);

	private static final long MEASUREMENT_MILLIS = 3_000;

	private final MultiThreadIoEventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2,
			NioIoHandler.newFactory());

	private final LinkServer server;

	private final TargetLinks links;

	private final Set<String> connectedTargets = new HashSet<>();

	ProbedLinks(int count) {
		LinkSettings base = LinkSettings.defaults();
		LinkSettings settings = new LinkSettings(base.maxFrameBytes(), base.readTimeout(), PROBE_INTERVAL,
				base.connectTimeout(), base.initialReconnectDelay(), base.maxReconnectDelay(), base.idleTimeout());
		PeerIdentity self = new PeerIdentity("peer", "d", 1);
		this.server = new LinkServer(this.eventLoops, new InetSocketAddress("127.0.0.1", 0), self, settings, this);
		this.links = new TargetLinks(this.eventLoops.next(), self, settings, new SplittableRandom(1), this);
		Map<String, InetSocketAddress> addresses = new HashMap<>();
		for (int i = 0; i < count; i++) {
			addresses.put(TargetLinks.SEED_PREFIX + i, new InetSocketAddress("127.0.0.1", this.server.port()));
		}
		this.links.setTargets(addresses, addresses.keySet());
		while (connectedCount() < count) {
			awaitMillis(20);
		}
	}

	double cpuMicrosPerSecond() {
		awaitMillis(500);
		long before = eventLoopCpuNanos();
		awaitMillis(MEASUREMENT_MILLIS);
		return (eventLoopCpuNanos() - before) / 1e3 / (MEASUREMENT_MILLIS / 1e3);
	}

	@Override
	public void onUp(String target, Link link) {
		synchronized (this.connectedTargets) {
			this.connectedTargets.add(target);
		}
	}

	@Override
	public void onFrame(String target, Link link, Protocol.Frame frame) {
		FrameCodec.decodeSidecarMessage(frame);
	}

	@Override
	public void onDown(String target) {
		// Links stay up during a measurement.
	}

	@Override
	public void onUp(Link link) {
		// The server keeps no state per link.
	}

	@Override
	public void onFrame(Link link, Protocol.Frame frame) {
		Optional<?> message = FrameCodec.decodeEntryMessage(frame);
		if (message.isPresent()) {
			link.send(new SidecarMessage.Load(new LoadReport(120, 8, 180_000, 200_000, false)));
		}
	}

	@Override
	public void onDown(Link link) {
		// The server keeps no state per link.
	}

	@Override
	public void close() {
		this.links.close();
		this.server.close();
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
	}

	private int connectedCount() {
		synchronized (this.connectedTargets) {
			return this.connectedTargets.size();
		}
	}

	private static long eventLoopCpuNanos() {
		ThreadMXBean threads = ManagementFactory.getThreadMXBean();
		long nanos = 0;
		for (long id : threads.getAllThreadIds()) {
			var info = threads.getThreadInfo(id);
			if (info != null && info.getThreadName().contains("multiThreadIoEventLoopGroup")) {
				nanos += Math.max(0, threads.getThreadCpuTime(id));
			}
		}
		return nanos;
	}

	private static void awaitMillis(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
