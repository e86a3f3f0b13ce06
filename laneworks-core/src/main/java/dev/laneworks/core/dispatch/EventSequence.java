package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Sequence of the events that one attempt delivers, which decides whether its stream can
 * be the one that its target produced.
 * <p>
 * A first attempt may start with any id, since a caller may continue an earlier stream. A
 * resumption starts with the event after the one that it was given. From there on each id
 * is one above the previous one, since a gap may be a lost event. Only a resumption can
 * deliver an event that the caller has already.
 */
final class EventSequence {

	private OptionalLong last;

	/**
	 * Create a sequence.
	 * @param last the event after which a generation resumes; empty if the attempt starts
	 * the generation
	 */
	EventSequence(OptionalLong last) {
		this.last = last;
	}

	/**
	 * Return the last event.
	 * @return the id of the last event, or of the one after which the generation resumes;
	 * empty before the first event of a first attempt
	 */
	OptionalLong last() {
		return this.last;
	}

	/**
	 * Add an event unless it shows that the stream is damaged.
	 * @param id the id of the event
	 * @return why the event cannot be the next one; empty if it can
	 */
	Optional<String> add(EventId id) {
		if (id.number().isEmpty()) {
			return Optional.of(id.fault());
		}
		long number = id.number().getAsLong();
		if (this.last.isPresent() && number != this.last.getAsLong() + 1) {
			return Optional.of("event " + number + " came after event " + this.last.getAsLong());
		}
		this.last = OptionalLong.of(number);
		return Optional.empty();
	}

}
