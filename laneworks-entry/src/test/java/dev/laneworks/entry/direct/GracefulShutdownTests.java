package dev.laneworks.entry.direct;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.dispatch.GenerationSize;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.serving.RouteSpec;
import dev.laneworks.core.serving.WeightedService;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link GracefulShutdown}.
 */
class GracefulShutdownTests {

	private final GracefulShutdown shutdown = new GracefulShutdown(2_600, 8_000);

	@Test
	void acceptsAllRequestsUntilShortlyAfterTheSignal() {
		assertThat(canFinishStream(2_000, 1_000_000)).isTrue();
		this.shutdown.request(10_000, 10_000);
		assertThat(canFinishStream(2_000, 12_599)).isTrue();
	}

	@Test
	void rejectsStreamsThatOutlastTheProcess() {
		this.shutdown.request(10_000, 10_000);
		assertThat(canFinishStream(2_000, 12_600)).isFalse();
		assertThat(canFinishStream(60, 12_600)).isTrue();
		assertThat(canFinishStream(60, 16_000)).isFalse();
	}

	@Test
	void acceptsPlainRequestsUntilShortlyBeforeTheExit() {
		this.shutdown.request(10_000, 10_000);
		assertThat(this.shutdown.canFinish(route(RequestKind.UNSAFE, 300), Optional.empty(), 17_100)).isTrue();
		assertThat(this.shutdown.canFinish(route(RequestKind.UNSAFE, 300), Optional.empty(), 17_101)).isFalse();
	}

	// Guards against a request that is accepted between the decision to exit and the
	// exit.
	@Test
	void rejectsAllRequestsOnceItIsComplete() {
		this.shutdown.request(10_000, 10_000);
		this.shutdown.complete();
		assertThat(this.shutdown.canFinish(route(RequestKind.UNSAFE, 300), Optional.empty(), 10_001)).isFalse();
	}

	@Test
	void rejectsStreamsOfUnknownLength() {
		this.shutdown.request(10_000, 10_000);
		assertThat(this.shutdown.canFinish(route(RequestKind.STREAMING, 1_800), Optional.empty(), 12_600)).isFalse();
	}

	/**
	 * Guards against accepting a stream that the process cannot finish when the signal is
	 * received late after a pause.
	 */
	@Test
	void countsFromTheEarliestTimeAtWhichTheSignalMayHaveBeenSent() {
		this.shutdown.request(51_100, 49_000);
		assertThat(canFinishStream(2_000, 53_554)).isFalse();
		assertThat(canFinishStream(60, 53_554)).isTrue();
		assertThat(canFinishStream(60, 55_000)).isFalse();
	}

	/**
	 * Guards against generations that wait for engine memory until the process ends, in
	 * the time in which all new requests are accepted.
	 */
	@Test
	void judgesQueuedStreamsByTheTimeLeftFromTheSignalOn() {
		GenerationSize size = new GenerationSize("m", 3_000, 2_000, OptionalLong.empty(), List.of());
		RouteSpec route = route(RequestKind.STREAMING, 1_800);
		assertThat(this.shutdown.isTimeSufficient(route, Optional.of(size), 10_000)).isTrue();
		this.shutdown.request(10_000, 10_000);
		assertThat(this.shutdown.isTimeSufficient(route, Optional.of(size), 10_000)).isFalse();
	}

	private boolean canFinishStream(long maxTokens, long now) {
		GenerationSize size = new GenerationSize("m", 3_000, maxTokens, OptionalLong.empty(), List.of());
		return this.shutdown.canFinish(route(RequestKind.STREAMING, 1_800), Optional.of(size), now);
	}

	private static RouteSpec route(RequestKind kind, long goalMillis) {
		return new RouteSpec("r", "h", "/", kind, 39_000, goalMillis, 180, 1, 1, false,
				List.of(new WeightedService("s", 1)), AllowedRegions.any());
	}

}
