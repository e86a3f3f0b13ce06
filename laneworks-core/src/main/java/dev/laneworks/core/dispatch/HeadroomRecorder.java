package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.headroom.EngineHeadroom;

/**
 * Reports the events of engine services to the {@link EngineHeadroom}.
 */
final class HeadroomRecorder {

	private final ServiceEngines engines;

	private final EngineHeadroom headroom;

	HeadroomRecorder(ServiceEngines engines) {
		this.engines = engines;
		this.headroom = new EngineHeadroom(engines);
	}

	EngineHeadroom headroom() {
		return this.headroom;
	}

	void recordArrival(DirectCall call, long now) {
		DirectRequest request = call.request();
		request.size()
			.filter((s) -> this.engines.engine(request.service()).isPresent())
			.ifPresent((s) -> this.headroom.recordArrival(request.service(), request.route().routePriority(),
					s.reservedTokens(0), now));
	}

	// A resumed attempt executed only a part of its generation.
	void recordEnd(DirectCall call, Attempt attempt, long now) {
		DirectRequest request = call.request();
		if (attempt.resume().isEmpty() && this.engines.engine(request.service()).isPresent()) {
			this.headroom.recordEnd(request.service(), request.route().routePriority(), now - attempt.sentAt());
		}
	}

	void recordDeparture(ListedTarget target, long now) {
		if (this.engines.engine(target.service()).isPresent()) {
			this.headroom.recordDeparture(target, now);
		}
	}

}
