package dev.laneworks.entry;

import java.util.Optional;
import java.util.function.Consumer;

import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.FrameCodec;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.TargetLinkListener;
import dev.laneworks.wire.TargetLinks;
import dev.laneworks.wire.proto.Protocol;

/**
 * Forwards events of the links to sidecars to the duty. Blocks a link's thread while the
 * ring of the duty is full, which applies back-pressure to the link.
 */
final class SidecarLinkListener implements TargetLinkListener {

	private final Consumer<Consumer<EntryState>> duty;

	private final DutyCallPort calls;

	SidecarLinkListener(Consumer<Consumer<EntryState>> duty, DutyCallPort calls) {
		this.duty = duty;
		this.calls = calls;
	}

	@Override
	public void onUp(String target, Link link) {
		if (!isSeed(target)) {
			long incarnation = link.peer().incarnation();
			this.calls.recordLinkUp(target, incarnation);
			this.duty.accept((s) -> s.coordinator().onLinkUp(target, incarnation, MonotonicClock.millis()));
		}
	}

	@Override
	public void onFrame(String target, Link link, Protocol.Frame frame) {
		Optional<ConfigurationMessage> configuration = FrameCodec.decodeConfigurationMessage(frame);
		if (configuration.isPresent()) {
			this.duty.accept((s) -> s.onConfigurationMessage(link, configuration.get()));
			return;
		}
		if (!isSeed(target)) {
			Optional<SidecarMessage> message = FrameCodec.decodeSidecarMessage(frame);
			message.ifPresent((m) -> this.duty.accept((s) -> s.onMessage(target, m)));
		}
	}

	@Override
	public void onDown(String target) {
		if (!isSeed(target)) {
			this.calls.recordLinkDown(target);
			this.duty.accept((s) -> s.coordinator().onLinkDown(target, MonotonicClock.millis()));
		}
	}

	private static boolean isSeed(String target) {
		return target.startsWith(TargetLinks.SEED_PREFIX);
	}

}
