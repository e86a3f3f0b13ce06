package dev.laneworks.sidecar;

import java.util.function.Consumer;

import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.FrameCodec;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.TargetLinkListener;
import dev.laneworks.wire.proto.Protocol;

/**
 * Passes what other sidecars answer about keys on to the deciding duty.
 */
final class FormerHomes implements TargetLinkListener {

	private final Consumer<Consumer<SidecarState>> duty;

	FormerHomes(Consumer<Consumer<SidecarState>> duty) {
		this.duty = duty;
	}

	@Override
	public void onUp(String target, Link link) {
		this.duty.accept((s) -> s.outputs().onHomeUp(target));
	}

	@Override
	public void onFrame(String target, Link link, Protocol.Frame frame) {
		FrameCodec.decodeSidecarMessage(frame).ifPresent((m) -> {
			if (m instanceof SidecarMessage.KeyBarResult result) {
				this.duty.accept(
						(s) -> s.host().onHomeAnswer(target, result.key(), result.outcome(), MonotonicClock.millis()));
			}
		});
	}

	@Override
	public void onDown(String target) {
		this.duty.accept((s) -> s.outputs().onHomeDown(target));
	}

}
