package dev.laneworks.core.once;

import java.util.Set;

import dev.laneworks.core.verdict.Refusal;

/**
 * What a sidecar may do with a keyed request that it has no record of.
 *
 * @since 0.1
 */
public sealed interface KeyDecision {

	/**
	 * No earlier try can have run: go ahead.
	 */
	record Run() implements KeyDecision {

	}

	/**
	 * Former homes must bar the key first.
	 *
	 * @param homes the names of the former homes
	 */
	record AskHomes(Set<String> homes) implements KeyDecision {

	}

	/**
	 * An earlier process beside the same target may have run it: only the target itself
	 * can tell.
	 *
	 * @param otherwise the answer if the target can't tell
	 */
	record AskTarget(Refusal otherwise) implements KeyDecision {

	}

	/**
	 * The request is refused.
	 *
	 * @param refusal the answer
	 */
	record Refuse(Refusal refusal) implements KeyDecision {

	}

}
