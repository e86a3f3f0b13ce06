package dev.laneworks.core.poison;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The prompts that this process received last, from which it estimates how common parts
 * are.
 */
final class LatestPrompts {

	private static final int MAX_PROMPTS = 32;

	/** The fewest prompts that allow an estimate. */
	private static final int MIN_PROMPTS = 8;

	private final Deque<PromptPartDigests> prompts = new ArrayDeque<>();

	void add(PromptPartDigests prompt) {
		if (prompt.parts().isEmpty()) {
			return;
		}
		if (this.prompts.size() == MAX_PROMPTS) {
			this.prompts.removeFirst();
		}
		this.prompts.addLast(prompt);
	}

	// Determines whether more than half of the prompts have all parts of a group.
	boolean isCommon(SuspectPartGroup group) {
		return this.prompts.size() >= MIN_PROMPTS
				&& 2 * this.prompts.stream().filter(group::matches).count() > this.prompts.size();
	}

}
