package dev.laneworks.bench.fuzz;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * One input of a trace, written as one JSON object a line whose member {@code do} names
 * it.
 * <p>
 * Processes are named by their index; an index beyond the last wraps around, so that any
 * trace is valid.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
@JsonSubTypes({ @JsonSubTypes.Type(value = FuzzAction.Advance.class, name = "advance"),
		@JsonSubTypes.Type(value = FuzzAction.Ask.class, name = "ask"),
		@JsonSubTypes.Type(value = FuzzAction.AskOnce.class, name = "ask-once"),
		@JsonSubTypes.Type(value = FuzzAction.AskWithTicket.class, name = "ask-with-ticket"),
		@JsonSubTypes.Type(value = FuzzAction.Leave.class, name = "caller-leaves"),
		@JsonSubTypes.Type(value = FuzzAction.ComeBack.class, name = "caller-comes-back"),
		@JsonSubTypes.Type(value = FuzzAction.KillEntry.class, name = "kill-entry"),
		@JsonSubTypes.Type(value = FuzzAction.KillSidecar.class, name = "kill-sidecar"),
		@JsonSubTypes.Type(value = FuzzAction.KillEngine.class, name = "kill-engine"),
		@JsonSubTypes.Type(value = FuzzAction.FreezeEntry.class, name = "freeze-entry"),
		@JsonSubTypes.Type(value = FuzzAction.FreezeSidecar.class, name = "freeze-sidecar"),
		@JsonSubTypes.Type(value = FuzzAction.DropLink.class, name = "drop-link"),
		@JsonSubTypes.Type(value = FuzzAction.CutLink.class, name = "cut-link"),
		@JsonSubTypes.Type(value = FuzzAction.StopSidecar.class, name = "stop-sidecar"),
		@JsonSubTypes.Type(value = FuzzAction.Publish.class, name = "publish"),
		@JsonSubTypes.Type(value = FuzzAction.PublishBad.class, name = "publish-bad"),
		@JsonSubTypes.Type(value = FuzzAction.ServiceDown.class, name = "service-down"),
		@JsonSubTypes.Type(value = FuzzAction.ServiceStale.class, name = "service-stale"),
		@JsonSubTypes.Type(value = FuzzAction.Expect.class, name = "expect") })
public sealed interface FuzzAction {

	/**
	 * Lets time pass.
	 *
	 * @param millis how much, in milliseconds
	 */
	record Advance(int millis) implements FuzzAction {

	}

	/**
	 * A caller asks for a generation.
	 *
	 * @param entry which entry
	 * @param length the length of the output
	 * @param repeatable whether it may run more than once
	 * @param priority higher goes first; 0 is overnight work
	 */
	record Ask(int entry, int length, boolean repeatable, int priority) implements FuzzAction {

	}

	/**
	 * A caller asks, or asks again, for a generation that must run at most once, under a
	 * key of its own.
	 *
	 * @param entry which entry
	 * @param key which key
	 * @param length the length of the output
	 */
	record AskOnce(int entry, int key, int length) implements FuzzAction {

	}

	/**
	 * A caller asks, or asks again, for a generation that must run at most once, under a
	 * ticket.
	 *
	 * @param entry which entry
	 * @param ticket which ticket; made at its first use
	 * @param length the length of the output
	 */
	record AskWithTicket(int entry, int ticket, int length) implements FuzzAction {

	}

	/**
	 * The connection of a caller breaks.
	 *
	 * @param call which call, in the order in which they were made
	 */
	record Leave(int call) implements FuzzAction {

	}

	/**
	 * A caller whose connection or entry was lost goes on from its last event.
	 *
	 * @param call which call, in the order in which they were made
	 * @param entry which entry
	 */
	record ComeBack(int call, int entry) implements FuzzAction {

	}

	/**
	 * An entry dies and another takes its place.
	 *
	 * @param entry which entry
	 */
	record KillEntry(int entry) implements FuzzAction {

	}

	/**
	 * A sidecar dies and another takes its place.
	 *
	 * @param sidecar which sidecar
	 */
	record KillSidecar(int sidecar) implements FuzzAction {

	}

	/**
	 * An engine dies and another takes its place.
	 *
	 * @param engine which engine
	 */
	record KillEngine(int engine) implements FuzzAction {

	}

	/**
	 * An entry is paused.
	 *
	 * @param entry which entry
	 * @param millis for how long, in milliseconds
	 */
	record FreezeEntry(int entry, int millis) implements FuzzAction {

	}

	/**
	 * A sidecar is paused.
	 *
	 * @param sidecar which sidecar
	 * @param millis for how long, in milliseconds
	 */
	record FreezeSidecar(int sidecar, int millis) implements FuzzAction {

	}

	/**
	 * A link breaks; the sidecar may hear of it much later than the entry, and of old
	 * messages later still.
	 *
	 * @param entry which entry
	 * @param sidecar which sidecar
	 */
	record DropLink(int entry, int sidecar) implements FuzzAction {

	}

	/**
	 * A link stalls, in one direction or both.
	 *
	 * @param entry which entry
	 * @param sidecar which sidecar
	 * @param toSidecar whether messages to the sidecar stall
	 * @param toEntry whether messages to the entry stall
	 * @param millis for how long, in milliseconds
	 */
	record CutLink(int entry, int sidecar, boolean toSidecar, boolean toEntry, int millis) implements FuzzAction {

	}

	/**
	 * A sidecar is told to leave; once it has ended another takes its place.
	 *
	 * @param sidecar which sidecar
	 */
	record StopSidecar(int sidecar) implements FuzzAction {

	}

	/**
	 * The platform publishes a configuration without one of the targets, or with all of
	 * them.
	 *
	 * @param without which target is left out; none if it is beyond the last
	 */
	record Publish(int without) implements FuzzAction {

	}

	/**
	 * The platform publishes a document that is void.
	 */
	record PublishBad() implements FuzzAction {

	}

	/**
	 * The configuration service answers nothing.
	 *
	 * @param millis for how long, in milliseconds
	 */
	record ServiceDown(int millis) implements FuzzAction {

	}

	/**
	 * The configuration service answers with what it held when this began.
	 *
	 * @param millis for how long, in milliseconds
	 */
	record ServiceStale(int millis) implements FuzzAction {

	}

	/**
	 * States how a call must have ended by now.
	 *
	 * @param call which call, in the order in which they were made
	 * @param outcome {@code whole}, {@code not-run}, {@code may-have-run}, {@code ran},
	 * {@code open} or {@code entry-died}; several separated by a bar
	 */
	record Expect(int call, String outcome) implements FuzzAction {

	}

}
