package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link DeferredRequests}.
 */
class DeferredRequestsTests {

	private final DeferredRequests deferred = new DeferredRequests();

	private final List<HttpServerExchange> handled = new ArrayList<>();

	private final List<String> failures = new ArrayList<>();

	@Test
	void failureOfOneRequestDoesNotBlockTheOthers() {
		HttpServerExchange bad = new HttpServerExchange(null);
		HttpServerExchange good = new HttpServerExchange(null);
		this.deferred.add(bad);
		this.deferred.add(good);
		this.deferred.replay((e) -> {
			if (e == bad) {
				throw new IllegalStateException("complete");
			}
			this.handled.add(e);
		}, this::runSafely);
		assertThat(this.handled).containsExactly(good);
		assertThat(this.failures).containsExactly("complete");
	}

	@Test
	void replaysEachRequestOnce() {
		this.deferred.add(new HttpServerExchange(null));
		this.deferred.replay(this.handled::add, this::runSafely);
		this.deferred.replay(this.handled::add, this::runSafely);
		assertThat(this.handled).hasSize(1);
	}

	// Continue after a failing action, as an I/O thread does.
	private void runSafely(Runnable action) {
		try {
			action.run();
		}
		catch (IllegalStateException ex) {
			this.failures.add(ex.getMessage());
		}
	}

}
