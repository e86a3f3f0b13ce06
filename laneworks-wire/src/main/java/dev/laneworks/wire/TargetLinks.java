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
 * Keeps links to the sidecars of targets.
 * <p>
 * Links in steady use are brought up again whenever they go down; others are brought up
 * when asked for and closed when idle. A silent link is probed. The peer must say that it
 * stands beside the target that was asked for, since addresses are given to new
 * instances. All state is confined to one event loop; the methods may be called from any
 * thread.
 *
 * @since 0.1
 */
public final class TargetLinks implements AutoCloseable {

	/** Begins the names of links whose peer is known by address alone. */
	public static final String SEED_PREFIX = "seed:";

	private static final long HOUSEKEEPING_MILLIS = 500;

	private final EventLoop loop;

	private final PeerIdentity self;

	private final LinkSettings settings;

	private final TargetLinkListener listener;

	private final Backoff backoff;

	private final Map<String, TargetLink> links = new HashMap<>();

	private Map<String, InetSocketAddress> addresses = Map.of();

	private Set<String> steady = Set.of();

	private boolean closed;

	/**
	 * Create a keeper without links.
	 * @param loop the thread that serves all links
	 * @param self who this process is
	 * @param settings bounds and times
	 * @param random spreads new tries over time
	 * @param listener hears of every link
	 */
	public TargetLinks(EventLoop loop, PeerIdentity self, LinkSettings settings, RandomGenerator random,
			TargetLinkListener listener) {
		this.loop = loop;
		this.self = self;
		this.settings = settings;
		this.listener = listener;
		this.backoff = new Backoff(settings.reconnectFirst(), settings.reconnectMax(), random);
		loop.scheduleWithFixedDelay(this::keepHouse, HOUSEKEEPING_MILLIS, HOUSEKEEPING_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Use addresses from now on.
	 * @param newAddresses where the sidecar of each target listens
	 * @param newSteady the targets whose links are in steady use
	 */
	public void use(Map<String, InetSocketAddress> newAddresses, Set<String> newSteady) {
		Map<String, InetSocketAddress> addressCopy = Map.copyOf(newAddresses);
		Set<String> steadyCopy = Set.copyOf(newSteady);
		this.loop.execute(() -> {
			this.addresses = addressCopy;
			this.steady = steadyCopy;
			this.steady.forEach((t) -> link(t).wish());
		});
	}

	/**
	 * Bring up a link if it is not up.
	 * @param target the target's name
	 */
	public void connect(String target) {
		this.loop.execute(() -> link(target).wish());
	}

	/**
	 * Send a message; dropped if the link is down.
	 * @param target the target's name
	 * @param message the message
	 */
	public void send(String target, EntryMessage message) {
		Protocol.Frame frame = FrameCodec.encode(message);
		this.loop.execute(() -> link(target).send(frame));
	}

	/**
	 * Send a message about the configuration on every link that is up.
	 * @param message the message
	 */
	public void broadcast(ConfigurationMessage message) {
		this.loop.execute(() -> this.links.values().forEach((l) -> l.send(FrameCodec.encode(message))));
	}

	@Override
	public void close() {
		this.loop.execute(() -> {
			this.closed = true;
			this.links.values().forEach(TargetLink::shut);
		});
	}

	private TargetLink link(String target) {
		return this.links.computeIfAbsent(target, TargetLink::new);
	}

	private void keepHouse() {
		if (this.closed) {
			return;
		}
		long now = nowMillis();
		this.links.values().removeIf((l) -> l.keep(now));
	}

	private static long nowMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
	}

	/**
	 * The link to one target, up or not.
	 */
	private final class TargetLink implements LinkListener {

		private final String target;

		private Link link;

		private boolean connecting;

		private boolean greeted;

		private int failures;

		private long nextTryAt;

		private long wishedAt;

		private long heardAt;

		private long probedAt;

		TargetLink(String target) {
			this.target = target;
			this.nextTryAt = nowMillis();
		}

		void wish() {
			this.wishedAt = nowMillis();
			if (this.wishedAt >= this.nextTryAt) {
				tryConnect();
			}
		}

		void send(Protocol.Frame frame) {
			this.wishedAt = nowMillis();
			if (this.link != null) {
				this.link.send(frame);
			}
		}

		void shut() {
			if (this.link != null) {
				this.link.close();
			}
		}

		// Returns whether the link is to be forgotten.
		boolean keep(long now) {
			boolean isSteady = TargetLinks.this.steady.contains(this.target);
			boolean isIdle = now - this.wishedAt > TargetLinks.this.settings.idle().toMillis();
			if (this.link != null) {
				probe(now);
				if (!isSteady && isIdle) {
					this.link.close();
				}
				return false;
			}
			if (this.connecting) {
				return false;
			}
			boolean isWished = now - this.wishedAt < TargetLinks.this.settings.silence().toMillis();
			if ((isSteady || isWished) && now >= this.nextTryAt) {
				tryConnect();
			}
			return !isSteady && isIdle;
		}

		@Override
		public void onUp(Link newLink) {
			this.greeted = true;
			if (!this.target.startsWith(SEED_PREFIX) && !newLink.peer().name().equals(this.target)) {
				Logger.warn("link refused: target={} cause=the address belongs to {}", this.target,
						newLink.peer().name());
				newLink.close();
				return;
			}
			this.connecting = false;
			this.link = newLink;
			this.failures = 0;
			this.heardAt = nowMillis();
			TargetLinks.this.listener.onUp(this.target, newLink);
		}

		@Override
		public void onFrame(Link from, Protocol.Frame frame) {
			if (from != this.link) {
				return;
			}
			this.heardAt = nowMillis();
			TargetLinks.this.listener.onFrame(this.target, from, frame);
		}

		@Override
		public void onDown(Link downLink) {
			// A link that was refused has no other way to end its try.
			if (downLink == this.link || this.link == null) {
				this.link = null;
				failed();
			}
		}

		private void probe(long now) {
			long gap = TargetLinks.this.settings.probeGap().toMillis();
			if (now - this.heardAt >= gap && now - this.probedAt >= gap) {
				this.probedAt = now;
				this.link.send(new EntryMessage.Probe());
			}
		}

		private void tryConnect() {
			if (this.link != null || this.connecting || TargetLinks.this.closed) {
				return;
			}
			InetSocketAddress address = TargetLinks.this.addresses.get(this.target);
			if (address == null) {
				failed();
				return;
			}
			this.connecting = true;
			this.greeted = false;
			Bootstrap bootstrap = new Bootstrap().group(TargetLinks.this.loop)
				.channel(NioSocketChannel.class)
				.option(ChannelOption.TCP_NODELAY, true)
				.option(ChannelOption.CONNECT_TIMEOUT_MILLIS,
						(int) TargetLinks.this.settings.connectTimeout().toMillis())
				.handler(new LinkInitializer(TargetLinks.this.settings,
						() -> new LinkHandler(TargetLinks.this.self, this)));
			bootstrap.connect(address).addListener((ChannelFuture f) -> connected(f));
		}

		private void connected(ChannelFuture future) {
			if (!future.isSuccess()) {
				failed();
				return;
			}
			// A peer that never says who it is ends the try when the connection closes.
			future.channel().closeFuture().addListener((f) -> {
				if (!this.greeted) {
					failed();
				}
			});
		}

		private void failed() {
			this.connecting = false;
			this.failures++;
			this.nextTryAt = nowMillis() + TargetLinks.this.backoff.delayMillis(this.failures);
			TargetLinks.this.listener.onDown(this.target);
		}

	}

}
