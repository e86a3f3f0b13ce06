package dev.laneworks.core.once;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Decides whether a sidecar may run a keyed request of which it has no record.
 * <p>
 * Each key has one home, and there is no shared store. A ticket names the home and its
 * incarnation. Only that process may run the request, and its records cover the entire
 * lifetime of the ticket. The home of a key without a ticket is derived from the
 * published targets. It decides only while its view of the published targets is
 * confirmed, only if its records cover the retry window, and only after former homes have
 * revoked the key. Not thread-safe.
 *
 * @since 0.1
 */
public final class KeyGuard {

	private static final Duration WRONG_HOME_RETRY = Duration.ofSeconds(1);

	private static final Duration STALE_VIEW_RETRY = Duration.ofSeconds(15);

	private final String target;

	private final long incarnation;

	private final long startedAt;

	private final ViewHistory views;

	/**
	 * Create a guard.
	 * @param target the name of the sidecar's target
	 * @param incarnation the incarnation of the sidecar; must not be
	 * {@link IdempotencyKey#NO_TICKET}
	 * @param startedAt the start time of the sidecar in milliseconds
	 * @param views the history of published targets
	 */
	public KeyGuard(String target, long incarnation, long startedAt, ViewHistory views) {
		if (incarnation == IdempotencyKey.NO_TICKET) {
			throw new IllegalArgumentException("incarnation must not be " + IdempotencyKey.NO_TICKET);
		}
		this.target = target;
		this.incarnation = incarnation;
		this.startedAt = startedAt;
		this.views = views;
	}

	/**
	 * Decide on a keyed request.
	 * @param key the key
	 * @param model the name of the model
	 * @param holder the current configuration and its age
	 * @param now the current time in milliseconds
	 * @return whether to run, to query others first or to refuse
	 */
	public KeyDecision decide(IdempotencyKey key, String model, ConfigurationHolder holder, long now) {
		if (key.hasTicket()) {
			return decideTicket(key);
		}
		Optional<Refusal> refusal = findViewRefusal(key, model, holder, now);
		if (refusal.isPresent()) {
			return new KeyDecision.Refuse(refusal.get());
		}
		return decideAtHome(key.generationName(), model, holder.current().orElseThrow(), now);
	}

	/**
	 * Determine whether a keyed request may still run after it waited in the queue.
	 * @param key the key
	 * @param model the name of the model
	 * @param holder the current configuration and its age
	 * @param now the current time in milliseconds
	 * @return {@code false} if the view of the published targets is too old or names
	 * another home
	 */
	public boolean mayStillRun(IdempotencyKey key, String model, ConfigurationHolder holder, long now) {
		return key.hasTicket() || findViewRefusal(key, model, holder, now).isEmpty();
	}

	/**
	 * Determine whether the records of this sidecar cover the entire time in which an
	 * earlier request with a key can have arrived.
	 * @param configuration the current configuration
	 * @param now the current time in milliseconds
	 * @return {@code true} if the sidecar started long enough ago
	 */
	public boolean coversRetryWindow(FleetConfiguration configuration, long now) {
		return now - this.startedAt >= configuration.keyTimes().retentionMillis();
	}

	private Optional<Refusal> findViewRefusal(IdempotencyKey key, String model, ConfigurationHolder holder, long now) {
		FleetConfiguration configuration = holder.current().orElse(null);
		if (configuration == null || holder.confirmedAgeMillis(now) > configuration.keyTimes().viewAge().toMillis()) {
			return Optional.of(Refusal.notRun(RefusalReason.STALE_VIEW,
					"the view of the published targets is too old to decide on a key without a ticket",
					STALE_VIEW_RETRY));
		}
		if (this.views.home(model, key.generationName()).filter(this.target::equals).isEmpty()) {
			return Optional.of(Refusal.notRun(RefusalReason.LEAVING,
					"this sidecar is not the home of the key according to the published targets", WRONG_HOME_RETRY));
		}
		return Optional.empty();
	}

	private KeyDecision decideTicket(IdempotencyKey key) {
		if (key.ticketIncarnation() == this.incarnation) {
			return new KeyDecision.Run();
		}
		return new KeyDecision.AskTarget(Refusal.mayHaveRun(RefusalReason.KEY_IN_DOUBT,
				"the sidecar process that the ticket names is no longer running and may have run the request"));
	}

	private KeyDecision decideAtHome(String generation, String model, FleetConfiguration configuration, long now) {
		if (!coversRetryWindow(configuration, now)) {
			long remainingMillis = this.startedAt + configuration.keyTimes().retentionMillis() - now;
			return new KeyDecision.AskTarget(new Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.KEY_IN_DOUBT,
					"this request did not run: an earlier request with the key may have run before this sidecar started",
					Optional.of(Duration.ofMillis(remainingMillis))));
		}
		Set<String> formerHomes = new LinkedHashSet<>(this.views.homes(model, generation));
		formerHomes.remove(this.target);
		return formerHomes.isEmpty() ? new KeyDecision.Run() : new KeyDecision.AskHomes(formerHomes);
	}

}
