package dev.laneworks.wire;

import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.wire.proto.Protocol;
import io.netty.channel.Channel;

/**
 * A connection to a peer that has said who it is.
 * <p>
 * May be used from any thread. A message sent on a link that is down is dropped.
 *
 * @since 0.1
 */
public final class Link {

	private final long number;

	private final PeerIdentity peer;

	private final Channel channel;

	Link(long number, PeerIdentity peer, Channel channel) {
		this.number = number;
		this.peer = peer;
		this.channel = channel;
	}

	/**
	 * Return the link's number, never used again by this process.
	 * @return the number
	 */
	public long number() {
		return this.number;
	}

	/**
	 * Return who the peer says it is.
	 * @return the identity
	 */
	public PeerIdentity peer() {
		return this.peer;
	}

	/**
	 * Send a message of an entry.
	 * @param message the message
	 */
	public void send(EntryMessage message) {
		send(FrameCodec.encode(message));
	}

	/**
	 * Send a message of a sidecar.
	 * @param message the message
	 */
	public void send(SidecarMessage message) {
		send(FrameCodec.encode(message));
	}

	/**
	 * Send a message about the configuration.
	 * @param message the message
	 */
	public void send(ConfigurationMessage message) {
		send(FrameCodec.encode(message));
	}

	/**
	 * Close the link.
	 */
	public void close() {
		this.channel.close();
	}

	void send(Protocol.Frame frame) {
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

}
