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
		Optional<Refusal> refusal = refusalByView(key, model, ledger, now);
		if (refusal.isPresent()) {
			return new KeyDecision.Refuse(refusal.get());
		}
		return decideAtHome(key.generationName(), model, ledger.current().orElseThrow(), now);
	}

	/**
	 * Return whether a keyed request that was decided on before may still run.
	 * @param key the key
	 * @param model the model of the request
	 * @param ledger the configuration in force and its age
	 * @param now the time in milliseconds
	 * @return {@code false} if the sidecar's view is too old, or names another home by
	 * now
	 */
	public boolean mayStillRun(OnceKey key, String model, ConfigurationLedger ledger, long now) {
		return key.hasTicket() || refusalByView(key, model, ledger, now).isEmpty();
	}

	/**
	 * Return whether the sidecar's memory covers all tries of a key that could have come
	 * to it.
	 * @param configuration the configuration in force
	 * @param now the time in milliseconds
	 * @return {@code true} if it has run for long enough
	 */
	public boolean remembersWindow(FleetConfiguration configuration, long now) {
		return now - this.startedAt >= configuration.keyTimes().memoryMillis();
	}

	private Optional<Refusal> refusalByView(OnceKey key, String model, ConfigurationLedger ledger, long now) {
		FleetConfiguration configuration = ledger.current().orElse(null);
		if (configuration == null || ledger.confirmedAgeMillis(now) > configuration.keyTimes().viewAge().toMillis()) {
			return Optional.of(Refusal.notRun(RefusalReason.STALE_VIEW,
					"the view of the published targets is too old to decide on a key without a ticket",
					STALE_VIEW_RETRY));
		}
		if (this.views.home(model, key.generationName()).filter(this.target::equals).isEmpty()) {
			return Optional.of(Refusal.notRun(RefusalReason.LEAVING,
					"this sidecar is not the home of the key by the targets published now", WRONG_HOME_RETRY));
		}
		return Optional.empty();
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
			long remaining = this.startedAt + configuration.keyTimes().memoryMillis() - now;
			return new KeyDecision.AskTarget(new Refusal(Verdict.MAY_HAVE_RUN, RefusalReason.KEY_IN_DOUBT,
					"not run this time; an earlier try may have run before this sidecar started",
					Optional.of(Duration.ofMillis(remaining))));
		}
		Set<String> others = new LinkedHashSet<>(this.views.homes(model, generation));
		others.remove(this.target);
		return others.isEmpty() ? new KeyDecision.Run() : new KeyDecision.AskHomes(others);
	}

}
