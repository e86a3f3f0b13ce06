package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link EarlyRequests}.
 */
class EarlyRequestsTests {

	private final EarlyRequests early = new EarlyRequests();

	private final List<HttpServerExchange> taken = new ArrayList<>();

	private final List<String> failures = new ArrayList<>();

	@Test
	void oneThatCanNotBeTakenDoesNotKeepTheOthersWaiting() {
		HttpServerExchange bad = new HttpServerExchange(null);
		HttpServerExchange good = new HttpServerExchange(null);
		this.early.add(bad);
		this.early.add(good);
		this.early.handOver((e) -> {
			if (e == bad) {
				throw new IllegalStateException("complete");
			}
			this.taken.add(e);
		}, this::runSafely);
		assertThat(this.taken).containsExactly(good);
		assertThat(this.failures).containsExactly("complete");
	}

	@Test
	void eachIsHandedOverOnce() {
		this.early.add(new HttpServerExchange(null));
		this.early.handOver(this.taken::add, this::runSafely);
		this.early.handOver(this.taken::add, this::runSafely);
		assertThat(this.taken).hasSize(1);
	}

	// An I/O thread goes on behind an action that fails.
	private void runSafely(Runnable action) {
		try {
			action.run();
		}
		catch (IllegalStateException ex) {
			this.failures.add(ex.getMessage());
		}
	}

}
