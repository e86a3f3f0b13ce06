package dev.laneworks.wire;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.wire.proto.Protocol;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.tinylog.Logger;

/**
 * Manages the links from this process to the sidecars of targets.
 * <p>
 * Persistent links are reconnected whenever they go down; others are connected on demand
 * and closed when idle. A silent peer is probed. A link is closed if its peer identifies
 * itself as the sidecar of another target, since addresses are reused for new instances.
 * All state is confined to one event loop; the methods may be called from any thread.
 *
 * @since 0.1
 */
public final class TargetLinks implements AutoCloseable {

	/** Prefix of the names of links whose peer is known by address only. */
	public static final String SEED_PREFIX = "seed:";

	private static final long MAINTENANCE_INTERVAL_MILLIS = 500;

	private final EventLoop loop;

	private final PeerIdentity self;

	private final LinkSettings settings;

	private final TargetLinkListener listener;

	private final Backoff backoff;

	private final Map<String, TargetLink> links = new HashMap<>();

	private Map<String, InetSocketAddress> addresses = Map.of();

	private Set<String> persistent = Set.of();

	private boolean closed;

	/**
	 * Create a manager without links.
	 * @param loop the event loop that serves all links
	 * @param self the identity that this process announces
	 * @param settings the limits and timeouts of the links
	 * @param random the source of jitter for reconnection delays
	 * @param listener receives the events of every link
	 */
	public TargetLinks(EventLoop loop, PeerIdentity self, LinkSettings settings, RandomGenerator random,
			TargetLinkListener listener) {
		this.loop = loop;
		this.self = self;
		this.settings = settings;
		this.listener = listener;
		this.backoff = new Backoff(settings.initialReconnectDelay(), settings.maxReconnectDelay(), random);
		loop.scheduleWithFixedDelay(this::maintainLinks, MAINTENANCE_INTERVAL_MILLIS, MAINTENANCE_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Replace the addresses of the targets and connect the persistent links.
	 * @param newAddresses the address of each target's sidecar, by the target's name
	 * @param newPersistent the names of the targets whose links are persistent
	 */
	public void setTargets(Map<String, InetSocketAddress> newAddresses, Set<String> newPersistent) {
		Map<String, InetSocketAddress> addressCopy = Map.copyOf(newAddresses);
		Set<String> persistentCopy = Set.copyOf(newPersistent);
		this.loop.execute(() -> {
			this.addresses = addressCopy;
			this.persistent = persistentCopy;
			this.persistent.forEach((t) -> link(t).request());
		});
	}

	/**
	 * Connect to a target unless its link is up or a reconnection delay is in progress.
	 * @param target the target's name
	 */
	public void connect(String target) {
		this.loop.execute(() -> link(target).request());
	}

	/**
	 * Send a message to a target.
	 * @param target the target's name
	 * @param message the message; dropped if the link is down
	 */
	public void send(String target, EntryMessage message) {
		Protocol.Frame frame = FrameCodec.encode(message);
		this.loop.execute(() -> link(target).send(frame));
	}

	/**
	 * Send a message about the configuration on every link that is up.
	 * @param message the message to send
	 */
	public void broadcast(ConfigurationMessage message) {
		this.loop.execute(() -> this.links.values().forEach((l) -> l.send(FrameCodec.encode(message))));
	}

	@Override
	public void close() {
		this.loop.execute(() -> {
			this.closed = true;
			this.links.values().forEach(TargetLink::closeLink);
		});
	}

	private TargetLink link(String target) {
		return this.links.computeIfAbsent(target, TargetLink::new);
	}

	private void maintainLinks() {
		if (this.closed) {
			return;
		}
		long now = nowMillis();
		this.links.values().removeIf((l) -> l.maintain(now));
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * Connection state of one target.
	 */
	private final class TargetLink implements LinkListener {

		private final String target;

		private Link link;

		private boolean connecting;

		private boolean helloReceived;

		private int failures;

		private long nextAttemptAt;

		private long lastUsedAt;

		private long lastReceivedAt;

		private long lastProbedAt;

		TargetLink(String target) {
			this.target = target;
			this.nextAttemptAt = nowMillis();
		}

		void request() {
			this.lastUsedAt = nowMillis();
			if (this.lastUsedAt >= this.nextAttemptAt) {
				tryConnect();
			}
		}

		void send(Protocol.Frame frame) {
			this.lastUsedAt = nowMillis();
			if (this.link != null) {
				this.link.send(frame);
			}
		}

		void closeLink() {
			if (this.link != null) {
				this.link.close();
			}
		}

		// Returns whether the link is unused and can be removed.
		boolean maintain(long now) {
			boolean isPersistent = TargetLinks.this.persistent.contains(this.target);
			boolean isIdle = now - this.lastUsedAt > TargetLinks.this.settings.idleTimeout().toMillis();
			if (this.link != null) {
				probe(now);
				if (!isPersistent && isIdle) {
					this.link.close();
				}
				return false;
			}
			if (this.connecting) {
				return false;
			}
			boolean isRecentlyUsed = now - this.lastUsedAt < TargetLinks.this.settings.readTimeout().toMillis();
			if ((isPersistent || isRecentlyUsed) && now >= this.nextAttemptAt) {
				tryConnect();
			}
			return !isPersistent && isIdle;
		}

		@Override
		public void onUp(Link newLink) {
			this.helloReceived = true;
			if (!this.target.startsWith(SEED_PREFIX) && !newLink.peer().name().equals(this.target)) {
				Logger.warn("link refused: target={} cause=the address belongs to {}", this.target,
						newLink.peer().name());
				newLink.close();
				return;
			}
			this.connecting = false;
			this.link = newLink;
			this.failures = 0;
			this.lastReceivedAt = nowMillis();
			TargetLinks.this.listener.onUp(this.target, newLink);
		}

		@Override
		public void onFrame(Link from, Protocol.Frame frame) {
			if (from != this.link) {
				return;
			}
			this.lastReceivedAt = nowMillis();
			TargetLinks.this.listener.onFrame(this.target, from, frame);
		}

		@Override
		public void onDown(Link downLink) {
			// A link that onUp rejected was never assigned; its attempt ends here.
			if (downLink == this.link || this.link == null) {
				this.link = null;
				handleFailure();
			}
		}

		private void probe(long now) {
			long interval = TargetLinks.this.settings.probeInterval().toMillis();
			if (now - this.lastReceivedAt >= interval && now - this.lastProbedAt >= interval) {
				this.lastProbedAt = now;
				this.link.send(new EntryMessage.Probe());
			}
		}

		private void tryConnect() {
			if (this.link != null || this.connecting || TargetLinks.this.closed) {
				return;
			}
			InetSocketAddress address = TargetLinks.this.addresses.get(this.target);
			if (address == null) {
				handleFailure();
				return;
			}
			this.connecting = true;
			this.helloReceived = false;
			Bootstrap bootstrap = new Bootstrap().group(TargetLinks.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
						(int) TargetLinks.this.settings.connectTimeout().toMillis())
				.handler(new LinkInitializer(TargetLinks.this.settings,
						() -> new LinkHandler(TargetLinks.this.self, this)));
			bootstrap.connect(address).addListener((ChannelFuture f) -> handleConnectResult(f));
		}

		private void handleConnectResult(ChannelFuture future) {
			if (!future.isSuccess()) {
				handleFailure();
				return;
			}
			// The attempt also fails if the connection closes before the peer's Hello.
			future.channel().closeFuture().addListener((f) -> {
				if (!this.helloReceived) {
					handleFailure();
				}
			});
		}

		private void handleFailure() {
			this.connecting = false;
			this.failures++;
			this.nextAttemptAt = nowMillis() + TargetLinks.this.backoff.delayMillis(this.failures);
			TargetLinks.this.listener.onDown(this.target);
		}

	}

}
