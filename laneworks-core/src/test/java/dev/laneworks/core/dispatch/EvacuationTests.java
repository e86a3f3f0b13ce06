package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.serving.AllowedRegions;
import dev.laneworks.core.serving.RequestKind;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.Verdict;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests that a {@link Dispatcher} sends nothing to evacuated data centres or to regions
 * in which a request must not be served.
 */
class EvacuationTests {

	private final DispatchHarness harness = DispatchHarness.create();

	@Test
	void sendsNoRequestToEvacuatedDataCentre() {
		this.harness.join(DispatchHarness.PLAIN, "near");
		this.harness.join(DispatchHarness.PLAIN, "far", "dc2");
		this.harness.evacuations.begin("dc");
		for (long call = 1; call <= 20; call++) {
			this.harness.open(call, RequestKind.SAFE, 2);
		}
		assertThat(this.harness.sent.stream().map((s) -> s.target().id()).distinct()).containsExactly("far");
	}

	@Test
	void sendsNoRetryToEvacuatedDataCentre() {
		ListedTarget far = this.harness.join(DispatchHarness.PLAIN, "far", "dc2");
		this.harness.open(1, RequestKind.SAFE, 2);
		assertThat(this.harness.sendLast().target()).isEqualTo(far);
		this.harness.join(DispatchHarness.PLAIN, "near");
		this.harness.evacuations.begin("dc");
		this.harness.breakConnection(this.harness.sent.get(0));
		assertThat(this.harness.sent).hasSize(1);
	}

	@Test
	void redirectsRequestWhoseConnectionIsNotEstablished() {
		this.harness.join(DispatchHarness.PLAIN, "near");
		this.harness.open(1, RequestKind.UNSAFE, 1);
		this.harness.join(DispatchHarness.PLAIN, "far", "dc2");
		this.harness.evacuations.begin("dc");
		assertThat(this.harness.assertReady(this.harness.sent.get(0))).isFalse();
		assertThat(this.harness.sendLast().target().id()).isEqualTo("far");
	}

	@Test
	void refusesRequestsWhileAllDataCentresAreEvacuated() {
		this.harness.join(DispatchHarness.PLAIN, "near");
		this.harness.join(DispatchHarness.PLAIN, "far", "dc2");
		this.harness.evacuations.replaceAll(List.of("dc", "dc2"));
		this.harness.open(1, RequestKind.UNSAFE, 1);
		Refusal refusal = this.harness.refusals.get(1L);
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(refusal.reason().status()).isEqualTo(503);
		assertThat(refusal.detail()).contains("evacuated");
		assertThat(refusal.retryAfter().get().toMillis()).isEqualTo(1_500);
		this.harness.evacuations.end("dc2");
		this.harness.open(2, RequestKind.UNSAFE, 1);
		assertThat(this.harness.sendLast().target().id()).isEqualTo("far");
	}

	@Test
	void generationContinuesInEvacuatedDataCentreUntilEngineDrains() {
		ListedTarget near = this.harness.join(DispatchHarness.ENGINES, "near");
		this.harness.openStream(1);
		DispatchHarness.Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.join(DispatchHarness.ENGINES, "near2");
		this.harness.join(DispatchHarness.ENGINES, "far", "dc2");
		this.harness.evacuations.begin("dc");
		assertThat(this.harness.event(first, 1)).isTrue();
		assertThat(this.harness.copies).isEmpty();
		this.harness.drain(near);
		this.harness.passTime(100);
		assertThat(this.harness.copies.get(0).destination().id()).isEqualTo("far");
	}

	@Test
	void dropsLiveCopyInEvacuatedDataCentre() {
		this.harness.join(DispatchHarness.ENGINES, "near");
		this.harness.join(DispatchHarness.ENGINES, "far", "dc2");
		this.harness.openStream(1);
		DispatchHarness.Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		assertThat(first.order().liveCopy()).isPresent();
		String copyIn = first.target().dataCentre().equals("dc") ? "dc2" : "dc";
		this.harness.evacuations.begin(copyIn);
		assertThat(this.harness.released).containsExactly(first.target().id() + "/request-1");
		this.harness.breakConnection(first);
		assertThat(this.harness.sent).hasSize(1);
		assertThat(this.harness.answers(1)).contains("cut");
	}

	@Test
	void redirectsMoveWhenDestinationIsEvacuated() {
		ListedTarget near = this.harness.join(DispatchHarness.ENGINES, "near");
		this.harness.openStream(1);
		this.harness.event(this.harness.sendLast(), 0);
		this.harness.join(DispatchHarness.ENGINES, "far", "dc2");
		this.harness.drain(near);
		this.harness.passTime(100);
		this.harness.join(DispatchHarness.ENGINES, "farther", "dc3");
		this.harness.evacuations.begin("dc2");
		this.harness.copied(CopyResult.Outcome.COPIED, "h1");
		this.harness.passTime(100);
		assertThat(this.harness.released).contains("near/h1");
		assertThat(this.harness.copies.get(this.harness.copies.size() - 1).destination().id()).isEqualTo("farther");
	}

	@Test
	void stoppedGenerationDoesNotReturnToEvacuatedDataCentre() {
		ListedTarget near = this.harness.join(DispatchHarness.ENGINES, "near");
		this.harness.openStream(1);
		DispatchHarness.Sent first = this.harness.sendLast();
		this.harness.event(first, 0);
		this.harness.join(DispatchHarness.ENGINES, "far", "dc2");
		this.harness.evacuations.begin("dc");
		this.harness.drain(near);
		this.harness.passTime(100);
		this.harness.copied(CopyResult.Outcome.COPIED, "h1");
		this.harness.breakConnection(first);
		this.harness.copied(CopyResult.Outcome.COPIED, "h1");
		DispatchHarness.Sent second = this.harness.sendLast();
		assertThat(second.target().id()).isEqualTo("far");
		this.harness.answer(second, 503, true);
		assertThat(this.harness.sent).hasSize(2);
		assertThat(this.harness.answers(1)).contains("cut");
	}

	@Test
	void servesRequestInRegionsOfRouteAndAccount() {
		this.harness.join(DispatchHarness.PLAIN, "north");
		this.harness.join(DispatchHarness.PLAIN, "south", "dc3");
		this.harness.regions = AllowedRegions.of(List.of("south", "north"))
			.intersect(AllowedRegions.of(List.of("south")));
		for (long call = 1; call <= 10; call++) {
			this.harness.open(call, RequestKind.SAFE, 2);
		}
		assertThat(this.harness.sent.stream().map((s) -> s.target().id()).distinct()).containsExactly("south");
		this.harness.breakConnection(this.harness.sendLast());
		assertThat(this.harness.sent).hasSize(10);
	}

	@Test
	void refusesRequestWithoutAllowedRegion() {
		this.harness.join(DispatchHarness.PLAIN, "north");
		this.harness.regions = AllowedRegions.of(List.of("north")).intersect(AllowedRegions.of(List.of("south")));
		this.harness.open(1, RequestKind.SAFE, 2);
		assertThat(this.harness.refusals.get(1L).detail()).contains("region");
		assertThat(this.harness.refusals.get(1L).verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void dataCentreOfUnknownRegionServesOnlyUnrestrictedRequests() {
		assertThat(AllowedRegions.of(List.of("north")).contains(Optional.empty())).isFalse();
		assertThat(AllowedRegions.any().contains(Optional.empty())).isTrue();
		assertThat(AllowedRegions.of(List.of()).contains(Optional.empty())).isFalse();
	}

	// Guards against a restriction that is lifted because no region is left in it.
	@Test
	void restrictionWithoutRegionsAllowsNone() {
		AllowedRegions none = AllowedRegions.of(List.of());
		assertThat(none).isNotEqualTo(AllowedRegions.any());
		for (AllowedRegions other : List.of(AllowedRegions.any(), AllowedRegions.of(List.of("north")), none)) {
			assertThat(none.intersect(other)).isEqualTo(none);
			assertThat(other.intersect(none)).isEqualTo(none);
		}
		this.harness.join(DispatchHarness.PLAIN, "north");
		this.harness.join(DispatchHarness.ENGINES, "engine");
		this.harness.regions = none;
		this.harness.open(1, RequestKind.SAFE, 2);
		this.harness.openStream(2);
		for (long call : List.of(1L, 2L)) {
			assertThat(this.harness.refusals.get(call).detail()).contains("region");
			assertThat(this.harness.refusals.get(call).verdict()).isEqualTo(Verdict.NOT_RUN);
		}
		assertThat(this.harness.sent).isEmpty();
	}

	@Test
	void movesGenerationWithinAllowedRegions() {
		ListedTarget near = this.harness.join(DispatchHarness.ENGINES, "near");
		this.harness.regions = AllowedRegions.of(List.of("north"));
		this.harness.openStream(1);
		this.harness.event(this.harness.sendLast(), 0);
		this.harness.join(DispatchHarness.ENGINES, "south", "dc3");
		this.harness.drain(near);
		this.harness.passTime(1_000);
		assertThat(this.harness.copies).isEmpty();
		this.harness.join(DispatchHarness.ENGINES, "north2", "dc2");
		this.harness.passTime(1_000);
		assertThat(this.harness.copies.get(0).destination().id()).isEqualTo("north2");
	}

}
