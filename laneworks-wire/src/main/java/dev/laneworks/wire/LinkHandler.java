package dev.laneworks.wire;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicLong;

import dev.laneworks.wire.proto.Protocol;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.tinylog.Logger;

/**
 * Netty handler of one end of a link: exchanges Hello frames with the peer, then passes
 * received frames to the {@link LinkListener}.
 */
final class LinkHandler extends SimpleChannelInboundHandler<Protocol.Frame> {

	private static final AtomicLong LINK_NUMBERS = new AtomicLong();

	private final PeerIdentity self;

	private final LinkListener listener;

	private Link link;

	LinkHandler(PeerIdentity self, LinkListener listener) {
		this.self = self;
		this.listener = listener;
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		context.writeAndFlush(FrameCodec.encode(this.self));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Protocol.Frame frame) {
		if (this.link != null) {
			this.listener.onFrame(this.link, frame);
			return;
		}
		PeerIdentity peer = FrameCodec.decodeHello(frame);
		this.link = new Link(LINK_NUMBERS.incrementAndGet(), peer, context.channel());
		this.listener.onUp(this.link);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		if (this.link != null) {
			this.listener.onDown(this.link);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent) {
			Logger.info("link closed: peer={} cause=silent", peerName());
			context.close();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (!(cause instanceof IOException)) {
			Logger.warn("link closed: peer={} cause={}", peerName(), cause.toString());
		}
		context.close();
	}

	private String peerName() {
		return (this.link != null) ? this.link.peer().name() : "unknown";
	}

}
