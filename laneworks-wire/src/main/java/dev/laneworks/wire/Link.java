package dev.laneworks.wire;

import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.wire.proto.Protocol;
import io.netty.channel.Channel;

/**
 * Connection to a peer that has identified itself.
 * <p>
 * Thread-safe. A message sent on a link that is down is dropped without an error.
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
	 * Return the number that identifies the link.
	 * @return a number that is unique within this process
	 */
	public long number() {
		return this.number;
	}

	/**
	 * Return the identity that the peer announced in its first frame.
	 * @return the name, data centre and incarnation of the peer
	 */
	public PeerIdentity peer() {
		return this.peer;
	}

	/**
	 * Send a message from an entry.
	 * @param message the message; dropped if the link is down
	 */
	public void send(EntryMessage message) {
		send(FrameCodec.encode(message));
	}

	/**
	 * Send a message from a sidecar.
	 * @param message the message; dropped if the link is down
	 */
	public void send(SidecarMessage message) {
		send(FrameCodec.encode(message));
	}

	/**
	 * Send a message about the configuration.
	 * @param message the message; dropped if the link is down
	 */
	public void send(ConfigurationMessage message) {
		send(FrameCodec.encode(message));
	}

	/**
	 * Close the link asynchronously.
	 */
	public void close() {
		this.channel.close();
	}

	void send(Protocol.Frame frame) {
		this.channel.writeAndFlush(frame, this.channel.voidPromise());
	}

}
