package dev.laneworks.sidecar;

import java.util.function.Consumer;

import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.FrameCodec;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.TargetLinkListener;
import dev.laneworks.wire.proto.Protocol;

/**
 * Forwards the replies of the former homes of keys, which are other sidecars, to the
 * duty.
 */
final class FormerHomeListener implements TargetLinkListener {

	private final Consumer<Consumer<SidecarState>> duty;

	FormerHomeListener(Consumer<Consumer<SidecarState>> duty) {
		this.duty = duty;
	}

	@Override
	public void onUp(String target, Link link) {
		this.duty.accept((s) -> s.outputs().onHomeUp(target));
	}

	@Override
	public void onFrame(String target, Link link, Protocol.Frame frame) {
		FrameCodec.decodeSidecarMessage(frame).ifPresent((m) -> {
			if (m instanceof SidecarMessage.KeyRevokeResult barResult) {
				this.duty.accept((s) -> s.host()
					.onKeyRevocationAnswer(target, barResult.key(), barResult.outcome(), MonotonicClock.millis()));
			}
		});
	}

	@Override
	public void onDown(String target) {
		this.duty.accept((s) -> s.outputs().onHomeDown(target));
	}

}
