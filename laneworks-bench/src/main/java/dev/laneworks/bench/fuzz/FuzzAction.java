package dev.laneworks.bench.fuzz;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Input of a trace, written as one JSON object per line whose member {@code do} names its
 * kind.
 * <p>
 * Processes, calls, keys and tickets are identified by index. Indexes of processes and
 * calls wrap around, so that every generated trace is valid.
 *
 * @since 0.1
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "do")
@JsonSubTypes({ @JsonSubTypes.Type(value = FuzzAction.Advance.class, name = "advance"),
		@JsonSubTypes.Type(value = FuzzAction.Submit.class, name = "ask"),
		@JsonSubTypes.Type(value = FuzzAction.SubmitOnce.class, name = "ask-once"),
		@JsonSubTypes.Type(value = FuzzAction.SubmitWithTicket.class, name = "ask-with-ticket"),
		@JsonSubTypes.Type(value = FuzzAction.CallerDisconnect.class, name = "caller-leaves"),
		@JsonSubTypes.Type(value = FuzzAction.CallerResume.class, name = "caller-comes-back"),
		@JsonSubTypes.Type(value = FuzzAction.KillEntry.class, name = "kill-entry"),
		@JsonSubTypes.Type(value = FuzzAction.KillSidecar.class, name = "kill-sidecar"),
		@JsonSubTypes.Type(value = FuzzAction.KillEngine.class, name = "kill-engine"),
		@JsonSubTypes.Type(value = FuzzAction.PauseEntry.class, name = "freeze-entry"),
		@JsonSubTypes.Type(value = FuzzAction.PauseSidecar.class, name = "freeze-sidecar"),
		@JsonSubTypes.Type(value = FuzzAction.DropLink.class, name = "drop-link"),
		@JsonSubTypes.Type(value = FuzzAction.StallLink.class, name = "cut-link"),
		@JsonSubTypes.Type(value = FuzzAction.StopSidecar.class, name = "stop-sidecar"),
		@JsonSubTypes.Type(value = FuzzAction.Publish.class, name = "publish"),
		@JsonSubTypes.Type(value = FuzzAction.PublishInvalid.class, name = "publish-bad"),
		@JsonSubTypes.Type(value = FuzzAction.ServiceDown.class, name = "service-down"),
		@JsonSubTypes.Type(value = FuzzAction.ServiceStale.class, name = "service-stale"),
		@JsonSubTypes.Type(value = FuzzAction.Expect.class, name = "expect") })
public sealed interface FuzzAction {

	/**
	 * Advances the virtual time.
	 *
	 * @param millis the time to advance in milliseconds
	 */
	record Advance(int millis) implements FuzzAction {

	}

	/**
	 * Submits a request for a generation.
	 *
	 * @param entry the index of the entry
	 * @param length the length of the output in tokens
	 * @param repeatable whether the request may run more than once
	 * @param priority the priority, where a higher value is served first and 0 is batch
	 * work
	 */
	record Submit(int entry, int length, boolean repeatable, int priority) implements FuzzAction {

	}

	/**
	 * Submits, or submits again, a request that must run at most once, under a key chosen
	 * by the caller.
	 *
	 * @param entry the index of the entry
	 * @param key the index of the key
	 * @param length the length of the output in tokens
	 */
	record SubmitOnce(int entry, int key, int length) implements FuzzAction {

	}

	/**
	 * Submits, or submits again, a request that must run at most once, under a ticket.
	 *
	 * @param entry the index of the entry
	 * @param ticket the index of the ticket, which is created at its first use
	 * @param length the length of the output in tokens
	 */
	record SubmitWithTicket(int entry, int ticket, int length) implements FuzzAction {

	}

	/**
	 * Breaks the connection of a caller.
	 *
	 * @param call the index of the call, in order of submission
	 */
	record CallerDisconnect(int call) implements FuzzAction {

	}

	/**
	 * Resumes a call after its last received event, for a caller whose connection or
	 * entry was lost.
	 *
	 * @param call the index of the call, in order of submission
	 * @param entry the index of the entry
	 */
	record CallerResume(int call, int entry) implements FuzzAction {

	}

	/**
	 * Kills an entry and replaces it.
	 *
	 * @param entry the index of the entry
	 */
	record KillEntry(int entry) implements FuzzAction {

	}

	/**
	 * Kills a sidecar and replaces it.
	 *
	 * @param sidecar the index of the sidecar
	 */
	record KillSidecar(int sidecar) implements FuzzAction {

	}

	/**
	 * Crashes an engine, which restarts without its generations.
	 *
	 * @param engine the index of the engine
	 */
	record KillEngine(int engine) implements FuzzAction {

	}

	/**
	 * Pauses an entry.
	 *
	 * @param entry the index of the entry
	 * @param millis the duration in milliseconds
	 */
	record PauseEntry(int entry, int millis) implements FuzzAction {

	}

	/**
	 * Pauses a sidecar.
	 *
	 * @param sidecar the index of the sidecar
	 * @param millis the duration in milliseconds
	 */
	record PauseSidecar(int sidecar, int millis) implements FuzzAction {

	}

	/**
	 * Breaks a link. The sidecar may be notified much later than the entry and may still
	 * receive delayed messages.
	 *
	 * @param entry the index of the entry
	 * @param sidecar the index of the sidecar
	 */
	record DropLink(int entry, int sidecar) implements FuzzAction {

	}

	/**
	 * Stalls a link in one direction or both.
	 *
	 * @param entry the index of the entry
	 * @param sidecar the index of the sidecar
	 * @param toSidecar whether messages to the sidecar are delayed
	 * @param toEntry whether messages to the entry are delayed
	 * @param millis the duration in milliseconds
	 */
	record StallLink(int entry, int sidecar, boolean toSidecar, boolean toEntry, int millis) implements FuzzAction {

	}

	/**
	 * Shuts a sidecar down gracefully and replaces it once it has terminated.
	 *
	 * @param sidecar the index of the sidecar
	 */
	record StopSidecar(int sidecar) implements FuzzAction {

	}

	/**
	 * Publishes a configuration without one of the targets, or with all of them.
	 *
	 * @param without the index of the omitted target, modulo the number of targets plus
	 * one, where the last value omits none
	 */
	record Publish(int without) implements FuzzAction {

	}

	/**
	 * Publishes an invalid configuration document.
	 */
	record PublishInvalid() implements FuzzAction {

	}

	/**
	 * Makes the configuration service unavailable.
	 *
	 * @param millis the duration in milliseconds
	 */
	record ServiceDown(int millis) implements FuzzAction {

	}

	/**
	 * Makes the configuration service return the document that was current at the start
	 * of the period.
	 *
	 * @param millis the duration in milliseconds
	 */
	record ServiceStale(int millis) implements FuzzAction {

	}

	/**
	 * Requires that a call has one of the given outcomes by now.
	 *
	 * @param call the index of the call, in order of submission
	 * @param outcome {@code whole}, {@code not-run}, {@code may-have-run}, {@code ran},
	 * {@code open} or {@code entry-died}; alternatives are separated by {@code |}
	 */
	record Expect(int call, String outcome) implements FuzzAction {

	}

}
