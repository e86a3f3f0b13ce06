package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import dev.laneworks.core.dispatch.CopyResult.Outcome;
import dev.laneworks.core.dispatch.DispatchHarness.Sent;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests that a stream with a wrong event id never ends as complete without an event that
 * its target sent: such an id was taken for one that the caller had already.
 */
class EventOrderTests {

	private static final int EVENTS = 6;

	private static final EventId NONE = EventId.read(List.of());

	private static final EventId NO_NUMBER = EventId.read(List.of("x"));

	private static final EventId TOO_LARGE = EventId.read(List.of("18446744073709551616"));

	private static final EventId TWO = EventId.read(List.of("2", "9"));

	private static final List<EventId> NO_IDS = List.of(NONE, NO_NUMBER, TOO_LARGE, TWO);

	@Test
	void firstAttemptMayStartAnywhere() {
		for (long first : new long[] { 0, 1, 7, 100, 2_147_483_648L }) {
			assertWithMessage("%s", first).that(play(Stage.FIRST, ids(first))).isEqualTo(EVENTS + " ended");
		}
	}

	@Test
	void resumptionStartsBehindTheLastEvent() {
		for (Stage stage : List.of(Stage.RESUMED, Stage.MOVED)) {
			assertWithMessage("%s", stage).that(play(stage, ids(2))).isEqualTo(EVENTS + " ended");
			for (long first : new long[] { 0, 1, 3, 100 }) {
				assertWithMessage("%s %s", stage, first).that(play(stage, ids(first))).isEqualTo("0 cut");
			}
		}
	}

	@Test
	void wrongIdIsNeverPassedOn() {
		for (Stage stage : Stage.values()) {
			for (int place = 1; place < EVENTS; place++) {
				List<EventId> wrongIds = new ArrayList<>(NO_IDS);
				for (long wrong : new long[] { 0, stage.first() + place - 1, stage.first() + place + 1, 900 }) {
					wrongIds.add(EventId.of(wrong));
				}
				for (EventId wrong : wrongIds) {
					assertWithMessage("%s %s at %s", stage, wrong, place).that(play(stage, spoilt(stage, place, wrong)))
						.isEqualTo(place + " cut");
				}
			}
		}
	}

	@Test
	void firstEventWithoutAReadableIdIsNoSuccess() {
		for (EventId wrong : NO_IDS) {
			assertWithMessage("%s", wrong).that(play(Stage.FIRST, spoilt(Stage.FIRST, 0, wrong)))
				.isEqualTo("0 refused 502");
		}
	}

	@Test
	void reversedEventsAreCut() {
		assertThat(play(Stage.FIRST, List.of(EventId.of(2), EventId.of(1), EventId.of(0)))).isEqualTo("1 cut");
	}

	// An id is no measure of what was generated.
	@Test
	void largeIdReservesNoMemory() {
		DispatchHarness harness = Stage.FIRST.start().harness;
		long before = reservedTokens(harness);
		harness.event(harness.sent.get(0), 999_999_999_999_999_999L);
		assertThat(reservedTokens(harness)).isEqualTo(before);
	}

	@Test
	void damagedStreamResumesAfterItsLastGoodEvent() {
		Started started = Stage.FIRST.start("b");
		DispatchHarness harness = started.harness;
		harness.event(started.sent, 0);
		harness.event(started.sent, NO_NUMBER);
		Sent second = harness.sendLast();
		assertThat(second.order().resume().get().lastEvent()).isEqualTo("0");
		assertThat(harness.event(second, 1)).isTrue();
		end(harness, second);
		assertThat(harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	// The damaged event shows that the generation goes on behind the last good one.
	@Test
	void resumptionWithoutTheDamagedEventIsNotComplete() {
		Started started = Stage.FIRST.start("b");
		started.harness.event(started.sent, 0);
		started.harness.event(started.sent, NO_NUMBER);
		end(started.harness, started.harness.sendLast());
		assertThat(started.harness.answers(1)).containsExactly("started", "cut").inOrder();
	}

	@Test
	void resumptionThatEndsBeforeAKnownEventIsNotComplete() {
		for (int sentAgain = 0; sentAgain < 2; sentAgain++) {
			Started started = Stage.FIRST.start("b");
			DispatchHarness harness = started.harness;
			Sent second = resumeAtCopy(started);
			harness.event(started.sent, 1);
			harness.event(started.sent, 2);
			if (sentAgain > 0) {
				harness.event(second, 1);
			}
			else {
				harness.breakConnection(started.sent);
			}
			end(harness, second);
			assertWithMessage("%s events sent again", sentAgain).that(harness.answers(1))
				.containsExactly("started", "cut")
				.inOrder();
		}
	}

	// A copy that ends too early shows nothing of the generation. Guards against a cut of
	// a whole stream whose later resumption has nothing left.
	@Test
	void generationWithoutItsCopyIsComplete() {
		Started started = Stage.FIRST.start("b");
		DispatchHarness harness = started.harness;
		Sent second = resumeAtCopy(started);
		harness.event(started.sent, 1);
		end(harness, second);
		harness.passTime(100);
		harness.copied(Outcome.COPIED, "h1");
		harness.copied(Outcome.COPIED, "h1");
		harness.breakConnection(started.sent);
		Sent third = harness.sendLast();
		assertThat(third.order().resume().get().lastEvent()).isEqualTo("1");
		end(harness, third);
		assertThat(harness.answers(1)).containsExactly("started", "ended").inOrder();
	}

	// Sends the first event, and resumes the generation beside its first execution.
	private static Sent resumeAtCopy(Started started) {
		started.harness.event(started.sent, 0);
		started.harness.drain(started.sent.target());
		return started.harness.sendLast();
	}

	@Property(tries = 2_000, seed = "90")
	void streamWithOneWrongIdIsCompleteOnlyWithAllItsEvents(@ForAll Stage stage, @ForAll @IntRange(max = 120) int first,
			@ForAll @IntRange(min = 1, max = 12) int count, @ForAll @IntRange(max = 11) int place,
			@ForAll @IntRange(min = -4, max = 130) int wrong) {
		long start = (stage == Stage.FIRST) ? first : stage.first();
		List<EventId> ids = new ArrayList<>();
		for (long id = start; id < start + count; id++) {
			ids.add(EventId.of(id));
		}
		assertThat(play(stage, ids)).isEqualTo(count + " ended");
		ids.set(place % count, (wrong < 0) ? NO_IDS.get(-1 - wrong) : EventId.of(wrong));
		String outcome = play(stage, ids);
		if (outcome.endsWith("ended")) {
			assertThat(outcome).isEqualTo(count + " ended");
		}
	}

	private static long reservedTokens(DispatchHarness harness) {
		return harness.estimates.of(harness.sent.get(0).target()).reservedTokens();
	}

	private static List<EventId> ids(long first) {
		List<EventId> ids = new ArrayList<>();
		for (long id = first; id < first + EVENTS; id++) {
			ids.add(EventId.of(id));
		}
		return ids;
	}

	private static List<EventId> spoilt(Stage stage, int place, EventId wrong) {
		List<EventId> ids = ids(stage.first());
		ids.set(place, wrong);
		return ids;
	}

	// Returns how many of the events were passed on, and how the call ended. Another
	// engine that holds the generation rejects it.
	private static String play(Stage stage, List<EventId> ids) {
		Started started = stage.start();
		DispatchHarness harness = started.harness;
		long passed = ids.stream().filter((i) -> harness.event(started.sent, i)).count();
		end(harness, started.sent);
		if (harness.sent.get(harness.sent.size() - 1) != started.sent) {
			harness.answer(harness.sendLast(), 503, true);
		}
		List<String> answers = harness.answers(1);
		return passed + " " + answers.get(answers.size() - 1);
	}

	private static void end(DispatchHarness harness, Sent sent) {
		harness.dispatcher.streamEnded(sent.call(), sent.attempt(), AnswerEnd.MARKED, harness.now);
	}

	/**
	 * What came before the events that are played.
	 */
	enum Stage {

		/** Nothing. */
		FIRST,

		/** The events 0 and 1, whose engine then broke off. */
		RESUMED,

		/** The events 0 and 1, after which the generation was moved. */
		MOVED;

		long first() {
			return (this == FIRST) ? 0 : 2;
		}

		Started start(String... otherEngines) {
			DispatchHarness harness = DispatchHarness.create();
			harness.join(DispatchHarness.ENGINES, "a");
			List.of(otherEngines).forEach((e) -> harness.join(DispatchHarness.ENGINES, e));
			if (this == FIRST) {
				harness.openStream(1);
				return new Started(harness, harness.sendLast());
			}
			if (this == RESUMED) {
				harness.join(DispatchHarness.ENGINES, "b");
			}
			harness.openStream(1);
			Sent first = harness.sendLast();
			harness.event(first, 0);
			harness.event(first, 1);
			if (this == RESUMED) {
				harness.breakConnection(first);
			}
			else {
				move(harness, first);
			}
			return new Started(harness, harness.sendLast());
		}

		private static void move(DispatchHarness harness, Sent first) {
			harness.join(DispatchHarness.ENGINES, "b");
			harness.drain(first.target());
			harness.passTime(100);
			harness.copied(Outcome.COPIED, "h1");
			harness.copied(Outcome.COPIED, "h1");
			harness.breakConnection(first);
		}

	}

	record Started(DispatchHarness harness, Sent sent) {

	}

}
