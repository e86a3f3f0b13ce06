package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.ListedTarget;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the memory that {@link TargetBeliefs} hold for copies at a target.
 */
class TargetBeliefsMemoryTests {

	private final ListedTarget target = new ListedTarget("a", "s", "10.0.0.1", 80, "dc", 4, false);

	private final TargetBeliefs beliefs = new TargetBeliefs((run) -> Optional.empty(), new SplittableRandom(1));

	/**
	 * In runs of the whole system memory was believed at -8 to -22% of an engine that had
	 * gone and come back while copies grew there, which made it look the emptiest: what
	 * the copies held was forgotten and then given back.
	 */
	@Test
	void whatCopiesHoldIsGivenBackToWhatWasBelievedWhenTheyBegan() {
		this.beliefs.of(this.target);
		this.beliefs.change(this.target, (b) -> b.held(700));
		this.beliefs.forget(this.target);
		assertThat(this.beliefs.of(this.target).ownTokens()).isEqualTo(700);
		this.beliefs.change(this.target, (b) -> b.held(-700));
		assertThat(this.beliefs.of(this.target).ownTokens()).isEqualTo(0);
	}

}
