package dev.laneworks.core.speed;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link TargetSpeed} and {@link ServiceSpeed}.
 */
class TargetSpeedTests {

	private final TargetSpeed target = new TargetSpeed();

	/** Guards against a stale report that steers requests after its phase has ended. */
	@Test
	void reportFadesWithAge() {
		this.target.recordReport(2.5, 0);
		assertThat(this.target.factor(0)).isWithin(0.01).of(2.5);
		double excess = this.target.factor(300) - 1;
		assertThat(excess).isLessThan(0.75);
		assertThat(excess).isGreaterThan(0.4);
		assertThat(this.target.factor(5_001)).isEqualTo(1.0);
	}

	@Test
	void reportFadesToLongerMean() {
		for (int at = 0; at < 40_000; at += 100) {
			this.target.recordReport(2, at);
		}
		assertThat(this.target.factor(42_000)).isWithin(0.1).of(2);
		assertThat(this.target.factor(45_000)).isEqualTo(1.0);
	}

	/** Guards against false figures that attract or repel all requests for good. */
	@Test
	void lyingFiguresAreBounded() {
		for (int at = 0; at < 20_000; at += 100) {
			this.target.recordReport((at % 200 == 0) ? 0 : 1e300, at);
			assertThat(this.target.factor(at)).isAtLeast(0.25);
			assertThat(this.target.factor(at)).isAtMost(8.0);
		}
		this.target.recordReport(Double.NaN, 20_000);
		assertThat(this.target.factor(20_000)).isAtMost(8.0);
		assertThat(this.target.factor(30_000)).isEqualTo(1.0);
	}

	/**
	 * Guards against a target that claims to be fast while its answers take the usual
	 * time.
	 */
	@Test
	void falseClaimOfSpeedIsOffsetByLearnedTime() {
		TargetSpeed honest = new TargetSpeed();
		for (int at = 0; at < 5_000; at += 100) {
			this.target.recordReport(0.25, at);
			this.target.recordResponse(100, 0, at);
			honest.recordReport(1, at);
			honest.recordResponse(100, 0, at);
		}
		ServiceSpeed service = ServiceSpeed.of(List.of(this.target, honest), 5_000);
		assertThat(service.plainFactor(this.target)).isAtLeast(0.9 * service.plainFactor(honest));
	}

	@Test
	void youngerReportWins() {
		this.target.recordReport(1, 1_000);
		this.target.merge(new SpeedReport(2.5, 500, 0, 0), 1_200);
		assertThat(this.target.factor(1_200)).isWithin(0.01).of(1);
		this.target.merge(new SpeedReport(2.5, 50, 0, 0), 1_200);
		assertThat(this.target.factor(1_200)).isGreaterThan(2);
		assertThat(this.target.ageMillis(1_200)).isEqualTo(50);
	}

	@Test
	void reportsOfOthersAreNotPassedOn() {
		this.target.merge(new SpeedReport(2.5, 50, 10, 20), 1_000);
		assertThat(this.target.report(1_000)).isEqualTo(Optional.empty());
		this.target.recordReport(2, 1_100);
		assertThat(this.target.report(1_200)).isEqualTo(Optional.of(new SpeedReport(2, 100, 10, 220)));
		assertThat(this.target.report(2_200)).isEqualTo(Optional.empty());
	}

	@Test
	void learnsTimePerTokenWithoutSlowPhases() {
		for (int at = 0; at < 20_000; at += 40) {
			boolean isSlow = at % 4_000 < 600;
			this.target.recordReport(isSlow ? 2.5 : 1, at);
			this.target.recordInterval(isSlow ? 100 : 40, 4, at);
		}
		assertThat(this.target.millisPerToken().mean()).isWithin(0.5).of(10);
	}

	/** Guards against a changed choice for services without the fourth figure. */
	@Test
	void serviceWithoutReportsHasNoFactors() {
		TargetSpeed slow = new TargetSpeed();
		slow.recordInterval(80, 4, 0);
		this.target.recordInterval(40, 4, 0);
		ServiceSpeed service = ServiceSpeed.of(List.of(slow, this.target), 0);
		assertThat(service.isActive()).isFalse();
		assertThat(service.engineFactor(slow)).isEqualTo(1.0);
		this.target.recordReport(1, 0);
		assertThat(ServiceSpeed.of(List.of(slow, this.target), 0).engineFactor(slow)).isWithin(0.01).of(80 / 60.0);
		assertThat(ServiceSpeed.of(List.of(slow, this.target), 60_001).isActive()).isFalse();
	}

	@Test
	void newEngineCountsAsMeanOfOthers() {
		TargetSpeed started = new TargetSpeed();
		this.target.recordReport(1, 0);
		this.target.recordInterval(80, 4, 0);
		assertThat(ServiceSpeed.of(List.of(started, this.target), 0).engineFactor(started)).isEqualTo(1.0);
	}

	@Test
	void sensitiveStreamsAvoidSlowEnginesWhileOthersHaveRoom() {
		TargetSpeed slow = new TargetSpeed();
		slow.recordReport(2.5, 0);
		slow.recordInterval(200, 4, 0);
		this.target.recordReport(1, 0);
		this.target.recordInterval(40, 4, 0);
		ServiceSpeed service = ServiceSpeed.of(List.of(slow, this.target), 0);
		List<TargetSpeed> both = List.of(slow, this.target);
		EnginePlacement stream = new EnginePlacement(service, new GenerationNeeds(187, 180, 0));
		assertThat(stream.suitable(both, (t) -> t, 4, (t) -> true)).containsExactly(this.target);
		assertThat(stream.suitable(both, (t) -> t, 4, (t) -> t == slow)).isEqualTo(both);
		EnginePlacement shortWork = new EnginePlacement(service, new GenerationNeeds(2, 180, 0));
		assertThat(shortWork.suitable(both, (t) -> t, 4, (t) -> true)).isEqualTo(both);
		assertThat(shortWork.startScore(slow)).isLessThan(shortWork.startScore(this.target));
	}

}
