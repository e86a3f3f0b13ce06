package dev.laneworks.core.poison;

import java.util.List;
import java.util.OptionalLong;

import dev.laneworks.core.directory.TargetIncarnation;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link BrokenConnections}.
 */
class BrokenConnectionsTests {

	private static final RequestDigest ONE = new RequestDigest(0, 0, 1);

	private static final RequestDigest OTHER = new RequestDigest(0, 0, 2);

	private static final TargetIncarnation INCARNATION = TargetIncarnation.of("a");

	private final BrokenConnections brokenConnections = new BrokenConnections();

	@Test
	void endOfATargetReturnsItsBrokenRequestsOnce() {
		add(ONE, "r1", INCARNATION, 0);
		add(OTHER, "r2", INCARNATION, 10);
		add(ONE, "r3", TargetIncarnation.of("b"), 10);
		assertThat(requestIds(this.brokenConnections.takeAfterCrash(INCARNATION, 4_500))).containsExactly("r1", "r2");
		assertThat(this.brokenConnections.takeAfterCrash(INCARNATION, 4_500)).isEmpty();
	}

	@Test
	void endIsNotAttributedToOldBreaks() {
		add(ONE, "r1", INCARNATION, 0);
		assertThat(this.brokenConnections.takeAfterCrash(INCARNATION, 4_501)).isEmpty();
	}

	@Test
	void acceptedConnectionKeepsOnlyTheLatestBreaks() {
		add(ONE, "r1", INCARNATION, 0);
		add(OTHER, "r2", INCARNATION, 100);
		this.brokenConnections.connectionAccepted(INCARNATION, 250);
		assertThat(requestIds(this.brokenConnections.takeAfterCrash(INCARNATION, 250))).containsExactly("r2");
	}

	// Guards against a failure on an incarnation without recorded requests.
	@Test
	void acceptedConnectionWithoutBrokenRequestsHasNoEffect() {
		this.brokenConnections.connectionAccepted(INCARNATION, 0);
		add(ONE, "r1", INCARNATION, 0);
		this.brokenConnections.takeAfterCrash(INCARNATION, 10);
		this.brokenConnections.connectionAccepted(INCARNATION, 300);
		assertThat(this.brokenConnections.takeAfterCrash(INCARNATION, 300)).isEmpty();
	}

	@Test
	void announcedEndRemovesBrokenRequests() {
		add(ONE, "r1", INCARNATION, 0);
		this.brokenConnections.remove(INCARNATION);
		assertThat(this.brokenConnections.takeAfterCrash(INCARNATION, 10)).isEmpty();
	}

	@Test
	void returnsTargetsWhereARequestBrokeOff() {
		add(ONE, "r1", INCARNATION, 0);
		add(ONE, "r2", TargetIncarnation.of("b"), 10);
		add(OTHER, "r3", TargetIncarnation.of("c"), 10);
		assertThat(this.brokenConnections.targetsOf(ONE, 20)).containsExactly(INCARNATION, TargetIncarnation.of("b"));
		assertThat(this.brokenConnections.targetsOf(ONE, 4_505)).containsExactly(TargetIncarnation.of("b"));
	}

	// Guards against a request that is cleared while its target may still be crashing.
	@Test
	void acceptedConnectionReturnsTheRequestsThatItsTargetOutlived() {
		add(ONE, "r1", INCARNATION, 0);
		assertThat(this.brokenConnections.connectionAccepted(INCARNATION, 249)).isEmpty();
		assertThat(requestIds(this.brokenConnections.connectionAccepted(INCARNATION, 250))).containsExactly("r1");
	}

	private void add(RequestDigest digest, String id, TargetIncarnation incarnation, long now) {
		this.brokenConnections.add(new BrokenConnections.Broken(digest, id, new PromptPartDigests(0, List.of()),
				OptionalLong.empty(), now, true), incarnation);
	}

	private static List<String> requestIds(List<BrokenConnections.Broken> requests) {
		return requests.stream().map(BrokenConnections.Broken::requestId).toList();
	}

}
