package dev.laneworks.core.poison;

import java.util.List;

import dev.laneworks.core.directory.TargetRun;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BrokenRequests}.
 */
class BrokenRequestsTests {

	private static final RequestDigest ONE = new RequestDigest(0, 0, 1);

	private static final RequestDigest OTHER = new RequestDigest(0, 0, 2);

	private static final TargetRun INCARNATION = TargetRun.of("a");

	private final BrokenRequests broken = new BrokenRequests();

	@Test
	void endOfATargetReturnsItsBrokenRequestsOnce() {
		assertThat(this.broken.add(ONE, "r1", INCARNATION, 0)).isTrue();
		assertThat(this.broken.add(OTHER, "r2", INCARNATION, 10)).isFalse();
		this.broken.add(ONE, "r3", TargetRun.of("b"), 10);
		assertThat(requestIds(this.broken.endOf(INCARNATION, 4_500))).containsExactly("r1", "r2");
		assertThat(this.broken.endOf(INCARNATION, 4_500)).isEmpty();
	}

	@Test
	void endIsNotAttributedToOldBreaks() {
		this.broken.add(ONE, "r1", INCARNATION, 0);
		assertThat(this.broken.endOf(INCARNATION, 4_501)).isEmpty();
	}

	@Test
	void acceptedConnectionKeepsOnlyTheLatestBreaks() {
		this.broken.add(ONE, "r1", INCARNATION, 0);
		this.broken.add(OTHER, "r2", INCARNATION, 100);
		this.broken.isAlive(INCARNATION, 250);
		assertThat(requestIds(this.broken.endOf(INCARNATION, 250))).containsExactly("r2");
	}

	// Guards against a failure on an incarnation without recorded requests.
	@Test
	void acceptedConnectionWithoutBrokenRequestsHasNoEffect() {
		this.broken.isAlive(INCARNATION, 0);
		this.broken.add(ONE, "r1", INCARNATION, 0);
		this.broken.endOf(INCARNATION, 10);
		this.broken.isAlive(INCARNATION, 300);
		assertThat(this.broken.endOf(INCARNATION, 300)).isEmpty();
	}

	@Test
	void announcedEndRemovesBrokenRequests() {
		this.broken.add(ONE, "r1", INCARNATION, 0);
		this.broken.forget(INCARNATION);
		assertThat(this.broken.endOf(INCARNATION, 10)).isEmpty();
	}

	@Test
	void returnsTargetsWhereARequestBrokeOff() {
		this.broken.add(ONE, "r1", INCARNATION, 0);
		this.broken.add(ONE, "r2", TargetRun.of("b"), 10);
		this.broken.add(OTHER, "r3", TargetRun.of("c"), 10);
		assertThat(this.broken.brokenOffAt(ONE, 20)).containsExactly(INCARNATION, TargetRun.of("b"));
		assertThat(this.broken.brokenOffAt(ONE, 4_505)).containsExactly(TargetRun.of("b"));
	}

	private static List<String> requestIds(List<BrokenRequests.Broken> requests) {
		return requests.stream().map(BrokenRequests.Broken::requestId).toList();
	}

}
