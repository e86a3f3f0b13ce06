package dev.laneworks.wire;

import java.net.InetSocketAddress;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * TCP server that accepts links from peers.
 *
 * @since 0.1
 */
public final class LinkServer implements AutoCloseable {

	private static final int BACKLOG = 1024;

	private final Channel channel;

	/**
	 * Create a server and start listening.
	 * @param group the threads that serve the links
	 * @param address the local address to bind to
	 * @param self the identity that this process announces
	 * @param settings the limits and timeouts of the links
	 * @param listener receives the events of every link
	 * @throws LinkBindException if the address cannot be bound
	 */
	public LinkServer(EventLoopGroup group, InetSocketAddress address, PeerIdentity self, LinkSettings settings,
			LinkListener listener) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new LinkInitializer(settings, () -> new LinkHandler(self, listener)));
		var bound = bootstrap.bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new LinkBindException("cannot listen on " + address + ": " + bound.cause().getMessage(),
					bound.cause());
		}
		this.channel = bound.channel();
	}

	/**
	 * Return the port that the server listens on.
	 * @return the actual port, also if the server was bound to port 0
	 */
	public int port() {
		return ((InetSocketAddress) this.channel.localAddress()).getPort();
	}

	@Override
	public void close() {
		this.channel.close().awaitUninterruptibly();
	}

}
