package dev.laneworks.sidecar;

import java.util.Optional;

import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.runtime.duty.Duty;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.FrameCodec;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.LinkListener;
import dev.laneworks.wire.proto.Protocol;

/**
 * Forwards events of the links from entries to the duty. Blocks a link's thread while the
 * ring of the duty is full, which applies back-pressure to the link.
 */
final class EntryLinkListener implements LinkListener {

	private final Duty<SidecarState> duty;

	EntryLinkListener(Duty<SidecarState> duty) {
		this.duty = duty;
	}

	@Override
	public void onUp(Link link) {
		this.duty.put((s) -> s.onLinkUp(link));
	}

	@Override
	public void onFrame(Link link, Protocol.Frame frame) {
		Optional<EntryMessage> message = FrameCodec.decodeEntryMessage(frame);
		if (message.isPresent()) {
			this.duty.put((s) -> s.host().onMessage(link.number(), message.get(), MonotonicClock.millis()));
			return;
		}
		Optional<ConfigurationMessage> configuration = FrameCodec.decodeConfigurationMessage(frame);
		configuration.ifPresent((c) -> this.duty.put((s) -> s.onConfigurationMessage(link, c)));
	}

	@Override
	public void onDown(Link link) {
		this.duty.put((s) -> s.onLinkDown(link));
	}

}
