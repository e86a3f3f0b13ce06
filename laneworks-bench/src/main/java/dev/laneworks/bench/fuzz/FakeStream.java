package dev.laneworks.bench.fuzz;

import dev.laneworks.core.host.GenerationHost;
import dev.laneworks.core.host.TargetLoss;
import dev.laneworks.core.message.FinishReason;

/**
 * Response stream from an engine to a sidecar.
 */
final class FakeStream {

	private static final long DELIVERY_DELAY_MILLIS = 1;

	private final VirtualTime time;

	private final FakeProcess process;

	private final GenerationHost host;

	private final String name;

	private boolean detached;

	FakeStream(VirtualTime time, FakeProcess process, GenerationHost host, String name) {
		this.time = time;
		this.process = process;
		this.host = host;
		this.name = name;
	}

	void detach() {
		this.detached = true;
	}

	void chunk(int offset, byte[] data) {
		deliver(() -> this.host.onTargetChunk(this.name, offset, data, this.time.now()));
	}

	void end(int total) {
		deliver(() -> this.host.onTargetEnd(this.name, total, FinishReason.STOP, this.time.now()));
	}

	void lost(TargetLoss loss) {
		deliver(() -> this.host.onTargetLost(this.name, loss, this.time.now()));
	}

	private void deliver(Runnable event) {
		this.time.schedule(DELIVERY_DELAY_MILLIS, () -> this.process.run(() -> {
			if (!this.detached) {
				event.run();
			}
		}));
	}

}
