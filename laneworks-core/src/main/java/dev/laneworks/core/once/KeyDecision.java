package dev.laneworks.core.once;

import java.util.Set;

import dev.laneworks.core.verdict.Refusal;

/**
 * Decision of a {@link KeyGuard} on a keyed request without a record at the sidecar.
 *
 * @since 0.1
 */
public sealed interface KeyDecision {

	/**
	 * The request may run, because no earlier request with the key can have run.
	 */
	record Run() implements KeyDecision {

	}

	/**
	 * Former homes of the key must revoke it first.
	 *
	 * @param homes the names of the former homes
	 */
	record AskHomes(Set<String> homes) implements KeyDecision {

	}

	/**
	 * An earlier sidecar process of the target may have run a request with the key, which
	 * the target must be asked about.
	 *
	 * @param ifUnknown the refusal if the target holds no such generation
	 */
	record AskTarget(Refusal ifUnknown) implements KeyDecision {

	}

	/**
	 * The request must be refused.
	 *
	 * @param refusal the refusal sent to the caller
	 */
	record Refuse(Refusal refusal) implements KeyDecision {

	}

}
