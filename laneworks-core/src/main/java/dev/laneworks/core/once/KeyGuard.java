package dev.laneworks.core.once;

import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Decides whether a sidecar may run a keyed request that it has no record of.
 * <p>
 * There is one home for each key and no shared store. A ticket names its home and the
 * home's incarnation: that process alone may run the request, and its memory covers the
 * ticket's whole life. A key without a ticket has the home that the published targets
 * give it. Its home decides only while its view of these is confirmed, only when its
 * memory covers the retry window, and only after former homes have barred the key. Not
 * thread-safe.
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
	 * @param incarnation the sidecar's incarnation
	 * @param startedAt when the sidecar started, in milliseconds
	 * @param views remembers the published targets
	 */
	public KeyGuard(String target, long incarnation, long startedAt, ViewHistory views) {
		if (incarnation == OnceKey.NO_TICKET) {
			throw new IllegalArgumentException("incarnation must not be " + OnceKey.NO_TICKET);
		}
		this.target = target;
		this.incarnation = incarnation;
		this.startedAt = startedAt;
		this.views = views;
	}

	/**
	 * Decide on a keyed request.
	 * @param key the key
	 * @param model the model of the request
	 * @param ledger the configuration in force and its age
	 * @param now the time in milliseconds
	 * @return what may be done
	 */
	public KeyDecision decide(OnceKey key, String model, ConfigurationLedger ledger, long now) {
		if (key.hasTicket()) {
			return decideTicket(key);
		}
		FleetConfiguration configuration = ledger.current().orElse(null);
		if (configuration == null || ledger.confirmedAgeMillis(now) > configuration.viewAge().toMillis()) {
			return new KeyDecision.Refuse(Refusal.notRun(RefusalReason.STALE_VIEW,
					"the view of the published targets is too old to decide on a key without a ticket",
					STALE_VIEW_RETRY));
		}
		String generation = key.generationName();
		if (!this.views.home(model, generation).filter(this.target::equals).isPresent()) {
			return new KeyDecision.Refuse(Refusal.notRun(RefusalReason.LEAVING,
					"this sidecar is not the home of the key by the targets published now", WRONG_HOME_RETRY));
		}
		return decideAtHome(generation, model, configuration, now);
	}

	/**
	 * Return how long a sidecar must remember keys and views.
	 * @param configuration the configuration in force
	 * @return the time in milliseconds
	 */
	public static long memoryMillis(FleetConfiguration configuration) {
		return configuration.retryWindow().plus(configuration.viewAge()).toMillis();
	}

	/**
	 * Return whether the sidecar's memory covers all tries of a key that could have come
	 * to it.
	 * @param configuration the configuration in force
	 * @param now the time in milliseconds
	 * @return {@code true} if it has run for long enough
	 */
	public boolean remembersWindow(FleetConfiguration configuration, long now) {
		return now - this.startedAt >= memoryMillis(configuration);
	}

	private KeyDecision decideTicket(OnceKey key) {
		if (key.ticketIncarnation() == this.incarnation) {
			return new KeyDecision.Run();
		}
		return new KeyDecision.AskTarget(Refusal.mayHaveRun(RefusalReason.KEY_IN_DOUBT,
				"the sidecar that the ticket names is gone and may have run the request"));
	}

	private KeyDecision decideAtHome(String generation, String model, FleetConfiguration configuration, long now) {
		if (!remembersWindow(configuration, now)) {
			long remaining = this.startedAt + memoryMillis(configuration) - now;
			return new KeyDecision.AskTarget(new Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.KEY_IN_DOUBT,
					"not run this time; an earlier try may have run before this sidecar started",
					Optional.of(Duration.ofMillis(remaining))));
		}
		Set<String> others = new LinkedHashSet<>(this.views.homes(model, generation));
		others.remove(this.target);
		return others.isEmpty() ? new KeyDecision.Run() : new KeyDecision.AskHomes(others);
	}

}
