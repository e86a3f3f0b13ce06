package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.Map;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.serving.RequestKind;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for the engine memory that a {@link Dispatcher} reports by client account. They
 * guard against memory that stays on an account after its requests ended.
 */
class AccountReservationTests {

	private final DispatchHarness harness = DispatchHarness.create();

	private final Map<String, Long> used = new HashMap<>();

	AccountReservationTests() {
		this.harness.dispatcher.onReservation((s, a, c) -> this.used.merge(s + "/" + a, c, Long::sum));
	}

	@Test
	void growsWithTheGenerationAndEndsWithIt() {
		this.harness.join(DispatchHarness.ENGINES, "e1");
		this.harness.openStream(1);
		DispatchHarness.Sent sent = this.harness.sendLast();
		assertThat(this.used).containsExactly("engines/acme", 3_250L);
		for (int i = 0; i < 40; i++) {
			this.harness.event(sent, i);
		}
		assertThat(this.used).containsExactly("engines/acme", 3_375L);
		this.harness.dispatcher.streamEnded(1, sent.attempt(), AnswerEnd.MARKED, this.harness.now);
		assertThat(this.used).containsExactly("engines/acme", 0L);
	}

	@Test
	void endsWhenTheCallerDisconnects() {
		this.harness.join(DispatchHarness.ENGINES, "e1");
		this.harness.openStream(1);
		this.harness.sendLast();
		this.harness.dispatcher.callerDisconnected(1, this.harness.now);
		assertThat(this.used).containsExactly("engines/acme", 0L);
	}

	@Test
	void endsWhenTheEngineIsLost() {
		ListedTarget engine = this.harness.join(DispatchHarness.ENGINES, "e1");
		this.harness.openStream(1);
		DispatchHarness.Sent sent = this.harness.sendLast();
		this.harness.event(sent, 0);
		this.harness.remove(engine);
		this.harness.breakConnection(sent);
		this.harness.passTime(40_000);
		assertThat(this.used).containsExactly("engines/acme", 0L);
	}

	@Test
	void requestsOfPlainServicesUseNone() {
		this.harness.join(DispatchHarness.PLAIN, "p1");
		this.harness.open(1, RequestKind.SAFE, 1);
		this.harness.sendLast();
		assertThat(this.used).isEmpty();
	}

}
