package dev.laneworks.entry.direct;

import java.util.ArrayList;
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

	private final GracefulShutdown shutdown = new GracefulShutdown(2_600, 8_400);

	private final FakeWork work = new FakeWork();

	@Test
	void acceptsAllRequestsForTheTimeThatIsSet() {
		assertThat(this.shutdown.canFinish(39_000, 1_000_000)).isTrue();
		this.shutdown.request(10_000, 10_000);
		assertThat(this.shutdown.canFinish(39_000, 12_599)).isTrue();
		assertThat(this.shutdown.canFinish(39_000, 12_600)).isFalse();
	}

	/**
	 * Guards against requests that are accepted by what they are expected to take and cut
	 * when the process ends.
	 */
	@Test
	void rejectsRequestsWhoseTimeoutOutlastsTheProcess() {
		this.shutdown.request(10_000, 10_000);
		assertThat(this.shutdown.canFinish(1_200, 16_800)).isTrue();
		assertThat(this.shutdown.canFinish(1_200, 16_801)).isFalse();
	}

	// Guards against a request that is accepted between the decision to exit and the
	// exit.
	@Test
	void rejectsAllRequestsOnceItIsComplete() {
		this.shutdown.request(10_000, 10_000);
		poll(10_000, 13_000);
		assertThat(this.shutdown.isEnding()).isTrue();
		assertThat(this.shutdown.canFinish(1, 10_001)).isFalse();
	}

	@Test
	void judgesQueuedStreamsOfUnknownLengthByTheirTimeout() {
		this.shutdown.request(10_000, 10_000);
		assertThat(this.shutdown.isTimeSufficient(route(RequestKind.STREAMING, 1_800), Optional.empty(), 10_000))
			.isFalse();
	}

	/**
	 * Guards against accepting a stream that the process cannot finish when the signal is
	 * received late after a pause.
	 */
	@Test
	void countsFromTheEarliestTimeAtWhichTheSignalMayHaveBeenSent() {
		this.shutdown.request(51_100, 49_000);
		assertThat(this.shutdown.canFinish(39_000, 53_554)).isFalse();
		assertThat(this.shutdown.canFinish(2_460, 53_554)).isTrue();
		assertThat(this.shutdown.canFinish(2_460, 55_000)).isFalse();
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

	@Test
	void closesConnectionsAfterItHasStoppedReading() {
		this.shutdown.request(10_000, 10_000);
		assertThat(poll(10_000, 12_990)).isFalse();
		assertThat(this.work.steps).isEmpty();
		assertThat(poll(13_000, 13_000)).isTrue();
		assertThat(this.work.steps).containsExactly("stop reading", "end calls", "close idle", "close all").inOrder();
	}

	// Guards against a process that ends while something that was read is unanswered.
	@Test
	void waitsForAnswersUntilTheGracePeriodIsOver() {
		this.shutdown.request(10_000, 10_000);
		this.work.unanswered = 1;
		assertThat(poll(10_000, 17_990)).isFalse();
		assertThat(this.work.steps).isEmpty();
		assertThat(poll(18_000, 18_140)).isFalse();
		assertThat(this.work.steps).containsAtLeast("stop reading", "end calls").inOrder();
		assertThat(poll(18_150, 18_150)).isTrue();
	}

	// Guards against an end before the process has read what arrived during a pause.
	@Test
	void readsBeforeItEndsAfterAPause() {
		this.shutdown.request(10_000, 10_000);
		poll(10_000, 11_000);
		assertThat(poll(13_500, 13_540)).isFalse();
		this.work.unanswered = 1;
		assertThat(poll(13_550, 13_600)).isFalse();
		this.work.unanswered = 0;
		assertThat(poll(13_610, 13_650)).isTrue();
	}

	// Guards against calls that are ended although their answers arrived during a pause.
	@Test
	void readsAnswersThatArrivedDuringAPauseBeforeItEndsCalls() {
		this.shutdown.request(10_000, 10_000);
		this.work.unanswered = 1;
		poll(10_000, 16_000);
		assertThat(poll(18_100, 18_100)).isFalse();
		assertThat(this.work.steps).isEmpty();
		poll(18_110, 18_110);
		assertThat(this.work.steps).contains("end calls");
	}

	// Guards against a further signal that prolongs the stop.
	@Test
	void countsFromTheFirstSignal() {
		assertThat(this.shutdown.request(10_000, 10_000)).isTrue();
		assertThat(this.shutdown.request(12_000, 12_000)).isFalse();
		this.work.unanswered = 1;
		assertThat(poll(10_000, 18_150)).isTrue();
	}

	// Guards against a stop during the start that opens the port and ends then.
	@Test
	void endsAtOnceIfNothingWasRead() {
		this.work.reading = false;
		this.shutdown.request(10_000, 10_000);
		assertThat(poll(10_000, 10_000)).isTrue();
	}

	// Polls each 10 ms until the process may exit or the time is over.
	private boolean poll(long from, long until) {
		for (long now = from; now <= until && !this.shutdown.isEnded(); now += 10) {
			this.shutdown.poll(this.work, now);
		}
		return this.shutdown.isEnded();
	}

	private static RouteSpec route(RequestKind kind, long goalMillis) {
		return new RouteSpec("r", "h", "/", kind, 39_000, goalMillis, 180, 1, 1, false,
				List.of(new WeightedService("s", 1)), AllowedRegions.any());
	}

	private static final class FakeWork implements GracefulShutdown.Work {

		private final List<String> steps = new ArrayList<>();

		private int unanswered;

		private boolean reading = true;

		@Override
		public boolean isReading() {
			return this.reading;
		}

		@Override
		public int unanswered() {
			return this.unanswered;
		}

		@Override
		public void stopReading(String cause) {
			this.steps.add("stop reading");
		}

		@Override
		public void endCalls(long now) {
			this.steps.add("end calls");
		}

		@Override
		public void closeIdleConnections() {
			this.steps.add("close idle");
		}

		@Override
		public void closeConnections() {
			this.steps.add("close all");
		}

	}

}
