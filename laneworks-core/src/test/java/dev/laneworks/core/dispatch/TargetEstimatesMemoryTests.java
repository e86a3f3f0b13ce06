package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.directory.ListedTarget;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the memory that {@link TargetEstimates} reserve for copies at a target.
 */
class TargetEstimatesMemoryTests {

	private final ListedTarget target = new ListedTarget("a", "s", "10.0.0.1", 80, "dc", 4, false);

	private final TargetEstimates estimates = new TargetEstimates((incarnation) -> Optional.empty(),
			new SplittableRandom(1));

	/**
	 * Guards against a negative memory estimate of an engine that is removed and listed
	 * again while copies to it are in progress.
	 */
	@Test
	void releasedCopyMemoryIsSubtractedFromTheStateThatReservedIt() {
		this.estimates.of(this.target);
		this.estimates.update(this.target, (b) -> b.addReservedTokens(700));
		this.estimates.remove(this.target);
		assertThat(this.estimates.of(this.target).reservedTokens()).isEqualTo(700);
		this.estimates.update(this.target, (b) -> b.addReservedTokens(-700));
		assertThat(this.estimates.of(this.target).reservedTokens()).isEqualTo(0);
	}

}
