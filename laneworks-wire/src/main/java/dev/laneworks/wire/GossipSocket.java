package dev.laneworks.wire;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;

import dev.laneworks.core.budget.RetryLoan;
import dev.laneworks.core.budget.RetryLoanRequest;
import dev.laneworks.core.follow.StoreUpdate;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.handover.SnapshotChunk;
import dev.laneworks.core.handover.SnapshotRequest;
import dev.laneworks.core.poison.PartObservation;
import dev.laneworks.core.poison.SuspectReport;
import dev.laneworks.wire.proto.Protocol;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.tinylog.Logger;

/**
 * UDP socket by which entries exchange gossip, store updates and snapshots.
 * <p>
 * Every message is one datagram. Datagrams may be lost, delayed or reordered; senders and
 * receivers tolerate this. Thread-safe.
 *
 * @since 0.2
 */
public final class GossipSocket {

	/**
	 * Leaves room for the load update of an entry with requests at hundreds of targets.
	 */
	private static final int MAX_DATAGRAM_BYTES = 32 * 1024;

	private static final long STOP_TIMEOUT_MILLIS = 100;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Channel channel;

	/**
	 * Create a socket and start receiving.
	 * @param address the local address to bind to
	 * @param listener receives the messages, on the thread of the socket
	 * @throws LinkBindException if the address cannot be bound
	 */
	public GossipSocket(InetSocketAddress address, GossipListener listener) {
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioDatagramChannel.class)
			.option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES))
			.handler(new Receiver(listener));
		ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
			throw new LinkBindException("cannot receive datagrams at " + address, bound.cause());
		}
		this.channel = bound.channel();
	}

	/**
	 * Send a load update of this entry.
	 * @param address the receiver's address
	 * @param update the update; dropped with a warning if it exceeds a datagram
	 */
	public void send(InetSocketAddress address, LoadUpdate update) {
		byte[] datagram = EntryDatagramCodec.encode(update);
		if (datagram.length > MAX_DATAGRAM_BYTES) {
			Logger.warn("dropped a load update of {} bytes, which exceeds a datagram", datagram.length);
			return;
		}
		write(address, datagram);
	}

	/**
	 * Send an update of the platform's store.
	 * <p>
	 * If the changes exceed a datagram, the large ones are left out, and if that is not
	 * enough, all of them. The receiver then reads them from the store.
	 * @param addresses the receivers' addresses
	 * @param update the update or request
	 */
	public void send(List<InetSocketAddress> addresses, StoreUpdate update) {
		byte[] encoded = EntryDatagramCodec.encode(update.reducedTo(MAX_DATAGRAM_BYTES));
		byte[] datagram = (encoded.length <= MAX_DATAGRAM_BYTES) ? encoded
				: EntryDatagramCodec.encode(update.withoutChanges());
		addresses.forEach((a) -> write(a, datagram));
	}

	/**
	 * Send a request for a snapshot of the store.
	 * @param address the receiver's address
	 * @param request the request, with the first chunk that is missing
	 */
	public void send(InetSocketAddress address, SnapshotRequest request) {
		write(address, EntryDatagramCodec.encode(request));
	}

	/**
	 * Send one chunk of a snapshot of the store.
	 * @param address the receiver's address
	 * @param chunk the chunk, small enough for a datagram
	 */
	public void send(InetSocketAddress address, SnapshotChunk chunk) {
		write(address, EntryDatagramCodec.encode(chunk));
	}

	/**
	 * Send reports of requests during which targets crashed.
	 * @param addresses the receivers' addresses
	 * @param reports the reports, few enough for a datagram
	 */
	public void sendSuspects(Collection<InetSocketAddress> addresses, List<SuspectReport> reports) {
		byte[] datagram = EntryDatagramCodec.encode(reports);
		addresses.forEach((a) -> write(a, datagram));
	}

	/**
	 * Send observations of prompt parts during whose execution targets crashed.
	 * @param addresses the receivers' addresses
	 * @param observations the observations, few enough for a datagram
	 */
	public void sendPartObservations(Collection<InetSocketAddress> addresses, List<PartObservation> observations) {
		byte[] datagram = EntryDatagramCodec.encodeParts(observations);
		addresses.forEach((a) -> write(a, datagram));
	}

	/**
	 * Ask an entry for a loan of retries.
	 * @param address the receiver's address
	 * @param request the request
	 */
	public void send(InetSocketAddress address, RetryLoanRequest request) {
		write(address, EntryDatagramCodec.encode(request));
	}

	/**
	 * Lend retries to an entry.
	 * @param address the receiver's address
	 * @param loan the loan
	 */
	public void send(InetSocketAddress address, RetryLoan loan) {
		write(address, EntryDatagramCodec.encode(loan));
	}

	/**
	 * Close the socket after the messages that were passed to it, and wait until its
	 * thread has stopped. Not to be called on that thread.
	 */
	public void close() {
		this.channel.close();
		this.group.shutdownGracefully(0, STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.awaitUninterruptibly(STOP_TIMEOUT_MILLIS);
	}

	private void write(InetSocketAddress address, byte[] datagram) {
		this.channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address));
	}

	/**
	 * Decodes received datagrams and passes them to the listener.
	 */
	private static final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		private final GossipListener listener;

		Receiver(GossipListener listener) {
			this.listener = listener;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			InetSocketAddress sender = packet.sender();
			String from = sender.getAddress().getHostAddress() + ':' + sender.getPort();
			EntryDatagramCodec.decode(ByteBufUtil.getBytes(packet.content())).ifPresent((d) -> dispatch(from, d));
		}

		private void dispatch(String from, Protocol.EntryDatagram datagram) {
			try {
				switch (datagram.getKindCase()) {
					case WORK -> this.listener.loadUpdateReceived(from, LoadUpdateCodec.decode(datagram.getWork()));
					case STORE -> this.listener.storeUpdateReceived(from, StoreUpdateCodec.decode(datagram.getStore()));
					case QUESTION ->
						this.listener.snapshotRequested(from, SnapshotCodec.decode(datagram.getQuestion()));
					case PIECE -> this.listener.chunkReceived(from, SnapshotCodec.decode(datagram.getPiece()));
					case SUSPECTS -> this.listener.suspectsReported(SuspectCodec.decode(datagram.getSuspects()));
					case PARTS -> this.listener.partsObserved(PartObservationCodec.decode(datagram.getParts()));
					case LOAN_REQUEST ->
						this.listener.loanRequested(from, RetryLoanCodec.decode(datagram.getLoanRequest()));
					case LOAN -> this.listener.loanReceived(RetryLoanCodec.decode(datagram.getLoan()));
					case KIND_NOT_SET -> Logger.info("ignored an empty datagram from {}", from);
				}
			}
			catch (IllegalArgumentException ex) {
				Logger.info("ignored an invalid datagram from {}: {}", from, ex.getMessage());
			}
		}

		// The operating system reports a closed port at the receiver as an error. Failed
		// peers are detected by missing heartbeats instead.
		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			Logger.debug("datagram socket error: {}", cause.getMessage());
		}

	}

}
