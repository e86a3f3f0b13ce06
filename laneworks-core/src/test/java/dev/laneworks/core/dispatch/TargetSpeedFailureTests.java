package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.backpressure.BackpressureSignals;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.speed.SpeedReport;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of a {@link Dispatcher} whose targets send figures of their speed that are
 * malformed, missing or of a former incarnation.
 */
class TargetSpeedFailureTests {

	private static final SpeedReport SLOW = new SpeedReport(2.5, 0, 0, 0);

	private final DispatchHarness harness = DispatchHarness.create();

	/** Guards against a malformed header that fails the answer or floods the log. */
	@Test
	void malformedLoadIsCountedAndTheAnswerDelivered() {
		this.harness.join(DispatchHarness.PLAIN, "a");
		for (int call = 1; call <= 20; call++) {
			this.harness.open(call, RequestKind.SAFE, 1);
			DispatchHarness.Sent sent = this.harness.sendLast();
			AnswerHead head = new AnswerHead(200, DispatchHarness.id(call), true, false, false, false, Optional.empty(),
					true, OptionalLong.empty(), BackpressureSignals.NONE);
			this.harness.dispatcher.headReceived(call, sent.attempt(), head, this.harness.now);
			this.harness.dispatcher.answered(call, sent.attempt(), head, AnswerEnd.MARKED, this.harness.now);
			assertThat(this.harness.answers.get((long) call)).containsExactly("delivered 1");
		}
		assertThat(this.harness.dispatcher.malformedLoads()).isEqualTo(20);
		assertThat(this.harness.audit.stream().filter((e) -> e.kind() == AuditKind.TARGET_HEALTH).count()).isEqualTo(1);
	}

	/** Guards against figures of another target that answers at the same address. */
	@Test
	void slownessOfMisdirectedAnswerIsIgnored() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.open(1, RequestKind.SAFE, 1);
		DispatchHarness.Sent sent = this.harness.sendLast();
		TargetLoad load = new TargetLoad(0, 0, 6, OptionalDouble.of(2.5));
		this.harness.dispatcher.headReceived(1, sent.attempt(), new AnswerHead(421, "", false, false, true, false,
				Optional.of(load), OptionalLong.empty(), BackpressureSignals.NONE), this.harness.now);
		assertThat(this.harness.estimates.of(target).speed().isReporting(this.harness.now)).isFalse();
	}

	/** Guards against the speed of a former incarnation that is applied to a new one. */
	@Test
	void newIncarnationHasUsualSpeed() {
		ListedTarget former = this.harness.join(DispatchHarness.ENGINES, "a");
		TargetLoad slow = new TargetLoad(0, 0, 24, OptionalDouble.of(2.5));
		this.harness.estimates.of(former).recordLoad(slow, this.harness.now);
		assertThat(this.harness.estimates.localWork(this.harness.now)).hasSize(1);
		ListedTarget started = this.harness.restart(former);
		assertThat(this.harness.estimates.of(started).speed().factor(this.harness.now)).isEqualTo(1.0);
		this.harness.estimates.mergeSpeed(former.incarnation(), SLOW, this.harness.now);
		assertThat(this.harness.estimates.of(started).speed().factor(this.harness.now)).isEqualTo(1.0);
		assertThat(this.harness.estimates.localWork(this.harness.now)).isEmpty();
	}

	/** Guards against another choice for services whose targets report no slowness. */
	@Test
	void learnedSpeedsAloneChangeNoChoice() {
		DispatchHarness learned = DispatchHarness.create();
		for (String id : List.of("a", "b", "c", "d")) {
			this.harness.join(DispatchHarness.ENGINES, id);
			ListedTarget target = learned.join(DispatchHarness.ENGINES, id);
			learned.estimates.of(target).speed().recordInterval(id.equals("a") ? 200 : 20, 4, 0);
			learned.estimates.of(target).speed().recordPrompt(id.equals("a") ? 2_000 : 20, 3_000, 0);
		}
		for (int call = 1; call <= 20; call++) {
			this.harness.openStream(call);
			learned.openStream(call);
		}
		assertThat(learned.sent.stream().map((s) -> s.target().id()).toList())
			.isEqualTo(this.harness.sent.stream().map((s) -> s.target().id()).toList());
	}

	/** Guards against a target without a figure that is avoided for its lack. */
	@Test
	void targetThatReportsNothingCountsAsUsual() {
		ListedTarget slow = this.harness.join(DispatchHarness.PLAIN, "slow");
		this.harness.join(DispatchHarness.PLAIN, "silent");
		this.harness.estimates.of(slow).recordLoad(new TargetLoad(0, 0, 6, OptionalDouble.of(2.5)), this.harness.now);
		this.harness.open(1, RequestKind.SAFE, 1);
		assertThat(this.harness.sendLast().target().id()).isEqualTo("silent");
	}

	@Test
	void routedLineNamesSlownessAndItsAge() {
		ListedTarget target = this.harness.join(DispatchHarness.PLAIN, "a");
		this.harness.estimates.of(target).recordLoad(new TargetLoad(0, 0, 6, OptionalDouble.of(2.5)), this.harness.now);
		this.harness.passTime(100);
		this.harness.open(1, RequestKind.SAFE, 1);
		assertThat(this.harness.audit.stream().filter((e) -> e.kind() == AuditKind.ROUTED).findFirst().get().cause())
			.contains("reported 100 ms ago");
	}

}
