package dev.laneworks.sidecar;

import java.util.function.Consumer;

import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.sidecar.target.TargetEvents;

/**
 * Forwards events of the target to the generation host on the duty.
 */
final class HostTargetEvents implements TargetEvents {

	private final Consumer<Consumer<SidecarState>> duty;

	HostTargetEvents(Consumer<Consumer<SidecarState>> duty) {
		this.duty = duty;
	}

	@Override
	public void onChunk(String generation, long offset, byte[] data) {
		this.duty.accept((s) -> s.host().onTargetChunk(generation, offset, data, MonotonicClock.millis()));
	}

	@Override
	public void onEnd(String generation, long total, FinishReason reason) {
		this.duty.accept((s) -> s.host().onTargetEnd(generation, total, reason, MonotonicClock.millis()));
	}

	@Override
	public void onLost(String generation, TargetLoss loss) {
		this.duty.accept((s) -> s.host().onTargetLost(generation, loss, MonotonicClock.millis()));
	}

	@Override
	public void onLookUp(String generation, boolean found) {
		this.duty.accept((s) -> s.host().onLookUp(generation, found, MonotonicClock.millis()));
	}

}
