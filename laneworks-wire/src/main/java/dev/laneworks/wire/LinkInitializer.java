package dev.laneworks.wire;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import dev.laneworks.wire.proto.Protocol;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;

/**
 * Sets up the Netty pipeline of a link: framing, Protobuf and detection of silent peers.
 */
final class LinkInitializer extends ChannelInitializer<SocketChannel> {

	private static final int LENGTH_BYTES = 4;

	private static final int FLUSHES_CONSOLIDATED = 64;

	private final LinkSettings settings;

	private final Supplier<LinkHandler> handlerFactory;

	LinkInitializer(LinkSettings settings, Supplier<LinkHandler> handlerFactory) {
		this.settings = settings;
		this.handlerFactory = handlerFactory;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		channel.pipeline()
			.addLast(new FlushConsolidationHandler(FLUSHES_CONSOLIDATED, true))
			.addLast(new IdleStateHandler(this.settings.readTimeout().toMillis(), 0, 0, TimeUnit.MILLISECONDS))
			.addLast(new LengthFieldBasedFrameDecoder(this.settings.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES))
			.addLast(new ProtobufDecoder(Protocol.Frame.getDefaultInstance()))
			.addLast(new LengthFieldPrepender(LENGTH_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(this.handlerFactory.get());
	}

}
