package dev.laneworks.core.inquiry;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.inquiry.EngineAnswer.Outcome;
import dev.laneworks.core.time.Timers;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link DrainingQuery}. They guard against missed reclaim notices and against
 * answers applied to the wrong incarnation.
 */
class DrainingQueryTests {

	private final List<String> calls = new ArrayList<>();

	private final Timers timers = new Timers();

	private final List<ListedTarget> engines = new ArrayList<>(List.of(engine("a"), engine("b")));

	private boolean listUnavailable;

	private final Set<String> responsibleFor = new HashSet<>(Set.of("a", "b"));

	private final DrainingQuery query = new DrainingQuery((t) -> this.listUnavailable,
			(e) -> this.responsibleFor.contains(e.id()), () -> this.engines, new Recorder(), this.timers);

	@Test
	void queriesEnginesPeriodicallyWhileTheListIsUnavailable() {
		this.query.start(0);
		assertThat(this.calls).isEmpty();
		this.listUnavailable = true;
		this.timers.run(300);
		assertThat(this.calls).containsExactly("ask a", "ask b").inOrder();
		this.query.handleAnswer(engine("a"), EngineAnswer.of(Outcome.ACCEPTING), 310);
		this.timers.run(600);
		assertThat(this.calls).containsExactly("ask a", "ask b", "ask a").inOrder();
		this.listUnavailable = false;
		this.query.handleAnswer(engine("b"), EngineAnswer.of(Outcome.UNKNOWN), 610);
		this.timers.run(900);
		assertThat(this.calls).hasSize(3);
	}

	@Test
	void queriesOnlyEnginesItIsResponsibleFor() {
		this.responsibleFor.remove("a");
		this.listUnavailable = true;
		this.query.start(0);
		assertThat(this.calls).containsExactly("ask b");
	}

	@Test
	void ignoresDrainingWithoutAStopTime() {
		this.query.handleAnswer(engine("a"), EngineAnswer.of(Outcome.DRAINING), 10);
		assertThat(this.calls).isEmpty();
	}

	@Test
	void reportsDrainingAndRefusedConnections() {
		this.query.handleAnswer(engine("a"), new EngineAnswer(Outcome.DRAINING, OptionalLong.of(900)), 10);
		this.query.handleAnswer(engine("b"), EngineAnswer.of(Outcome.REFUSED), 10);
		assertThat(this.calls).containsExactly("a leaves in 900", "b refused").inOrder();
	}

	@Test
	void ignoresAnswersOfAnotherIncarnation() {
		ListedTarget queried = engine("a").withStartMillis(OptionalLong.of(5));
		OptionalLong soon = OptionalLong.of(900);
		this.query.handleAnswer(queried, new EngineAnswer(Outcome.DRAINING, soon, OptionalLong.of(4)), 10);
		assertThat(this.calls).isEmpty();
		this.query.handleAnswer(queried, new EngineAnswer(Outcome.DRAINING, soon, OptionalLong.of(5)), 20);
		assertThat(this.calls).containsExactly("a leaves in 900");
	}

	@Test
	void queriesANewIncarnationBeforeTheFormerOneAnswers() {
		this.engines.remove(1);
		this.listUnavailable = true;
		this.query.start(0);
		this.engines.set(0, engine("a").withStartMillis(OptionalLong.of(5)));
		this.timers.run(300);
		assertThat(this.calls).containsExactly("ask a", "ask a");
	}

	private static ListedTarget engine(String id) {
		return new ListedTarget(id, "s", "10.0.0.1", 80, "dc", 4, false);
	}

	private final class Recorder implements DrainingQueryOutputs {

		@Override
		public void query(ListedTarget engine) {
			DrainingQueryTests.this.calls.add("ask " + engine.id());
		}

		@Override
		public void draining(ListedTarget engine, EngineAnswer answer, long now) {
			DrainingQueryTests.this.calls.add(engine.id() + " leaves in " + answer.stopsInMillis().orElse(-1));
		}

		@Override
		public void connectionRefused(ListedTarget engine, long now) {
			DrainingQueryTests.this.calls.add(engine.id() + " refused");
		}

	}

}
