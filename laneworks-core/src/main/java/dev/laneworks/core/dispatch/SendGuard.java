package dev.laneworks.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongPredicate;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.follow.StoreContact;
import dev.laneworks.core.follow.StorePosition;

/**
 * Decides immediately before the first byte of an attempt whether its target may still
 * receive it.
 * <p>
 * New requests require a target that accepts work. A generation may resume at an engine
 * that is draining or gone, but not later than targets serve on after their departure.
 * Not thread-safe.
 *
 * @since 0.8
 */
public final class SendGuard {

	/**
	 * The time that the news of a departure may take to this process, and a request from
	 * this process to its target, in milliseconds.
	 */
	private static final long TRANSIT_MILLIS = 500;

	/**
	 * Bounds the memory. A generation resumes within seconds of a departure, in which a
	 * fleet cannot replace that many targets.
	 */
	private static final int MAX_DEPARTURES = 1_024;

	private final Eligibility eligibility;

	private final StoreContact contact;

	private final LongPredicate awaitsContact;

	private final OptionalLong drainMillis;

	/** When the departure of each incarnation became known, in milliseconds. */
	private final Map<TargetIncarnation, Long> departures = new LinkedHashMap<>();

	/**
	 * Create a guard.
	 * @param eligibility the rules that decide which targets may receive requests
	 * @param contact the revision and age of the known targets
	 * @param awaitsContact whether new requests have to wait at a time in milliseconds,
	 * since this process was late and had no contact with the store since
	 * @param drainMillis the time after the announcement of a departure within which the
	 * target may still receive requests, in milliseconds; empty if it is not bounded
	 */
	public SendGuard(Eligibility eligibility, StoreContact contact, LongPredicate awaitsContact,
			OptionalLong drainMillis) {
		this.eligibility = Objects.requireNonNull(eligibility, "eligibility must not be null");
		this.contact = Objects.requireNonNull(contact, "contact must not be null");
		this.awaitsContact = Objects.requireNonNull(awaitsContact, "awaitsContact must not be null");
		this.drainMillis = Objects.requireNonNull(drainMillis, "drainMillis must not be null");
	}

	/**
	 * Record that a target is draining, gone, or no longer listed. Later calls for the
	 * same incarnation do not change the time.
	 * @param target the departing target
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void recordDeparture(ListedTarget target, long now) {
		this.departures.putIfAbsent(target.incarnation(), now);
		if (this.departures.size() > MAX_DEPARTURES) {
			this.departures.remove(this.departures.keySet().iterator().next());
		}
	}

	/**
	 * Record that a target is listed again, which ends its departure.
	 * @param target the listed target
	 */
	void recordReturn(ListedTarget target) {
		this.departures.remove(target.incarnation());
	}

	/**
	 * Determine whether a generation may resume at a target.
	 * @param target the engine that holds a copy or the stopped execution
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code false} if the engine departed too long ago
	 */
	boolean mayResume(ListedTarget target, long now) {
		Long since = this.departures.get(target.incarnation());
		return since == null || this.drainMillis.isEmpty()
				|| now - since <= this.drainMillis.getAsLong() - TRANSIT_MILLIS;
	}

	/**
	 * Determine whether a new request has to wait for a contact with the store. A
	 * resumption does not wait, since its caller sees a pause.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the known targets are as old as a pause of this process
	 */
	boolean awaitsContact(long now) {
		return this.awaitsContact.test(now);
	}

	/**
	 * Determine why nothing may be sent to the target of an attempt. To be called once
	 * its connection is established, immediately before the first byte.
	 * @param attempt the attempt
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the reason with the view that it is based on, or empty if the request may
	 * be sent
	 */
	Optional<String> findRejection(Attempt attempt, long now) {
		ListedTarget target = attempt.target();
		if (attempt.resume().isEmpty()) {
			return this.eligibility.findRejection(target, now).map((r) -> r + describeView(target, now));
		}
		return mayResume(target, now) ? Optional.empty()
				: Optional.of("the generation would resume too late" + describeView(target, now));
	}

	/**
	 * Describe the view of the store that a decision about a target is based on.
	 * @param target the target
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return the known revision, its age, and the age of a departure, for the log
	 */
	String describeView(ListedTarget target, long now) {
		OptionalLong revision = this.contact.appliedRevision();
		Long since = this.departures.get(target.incarnation());
		return (revision.isPresent() ? ", store revision " + StorePosition.of(revision.getAsLong()) : "")
				+ ", last contact " + this.contact.silentMillis(now) + " ms ago"
				+ ((since != null) ? ", departure known for " + (now - since) + " ms" : "");
	}

}
