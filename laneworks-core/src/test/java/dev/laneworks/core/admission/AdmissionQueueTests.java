package dev.laneworks.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link AdmissionQueue}.
 */
class AdmissionQueueTests {

	private final AdmissionQueue<Waiting> queue = new AdmissionQueue<>(1_000);

	@Test
	void takesHigherPriorityFirst() {
		this.queue.add(new Waiting("a", 0, 1, 0));
		Waiting live = new Waiting("a", 3, 1, 5);
		this.queue.add(live);
		assertThat(this.queue.peek(10).orElseThrow()).isEqualTo(live);
	}

	@Test
	void agesWhatWaitsSoThatNothingStarves() {
		Waiting old = new Waiting("a", 0, 1, 0);
		this.queue.add(old);
		this.queue.add(new Waiting("b", 3, 1, 4_000));
		assertThat(this.queue.peek(4_000).orElseThrow()).isEqualTo(old);
	}

	@Test
	void servesAccountsByWeight() {
		for (int i = 0; i < 400; i++) {
			this.queue.add(new Waiting("large", 1, 1, i));
			this.queue.add(new Waiting("double", 1, 2, i));
		}
		for (int i = 0; i < 100; i++) {
			this.queue.add(new Waiting("small", 1, 1, i));
		}
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 200; i++) {
			Waiting next = this.queue.peek(500).orElseThrow();
			this.queue.remove(next);
			this.queue.recordServed(next.account(), next.weight(), 100);
			served.merge(next.account(), 1, Integer::sum);
		}
		assertThat(served).containsExactly("large", 50, "double", 100, "small", 50);
	}

	@Test
	void doesNotLetAnAccountSaveUp() {
		this.queue.add(new Waiting("busy", 1, 1, 0));
		this.queue.recordServed("busy", 1, 10_000);
		this.queue.add(new Waiting("late", 1, 1, 1));
		List<String> order = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			this.queue.add(new Waiting("busy", 1, 1, 2 + i));
			this.queue.add(new Waiting("late", 1, 1, 2 + i));
			Waiting next = this.queue.peek(10).orElseThrow();
			this.queue.remove(next);
			this.queue.recordServed(next.account(), 1, 100);
			order.add(next.account());
		}
		assertThat(order.stream().filter("busy"::equals).count()).isEqualTo(3);
	}

	/**
	 * A waiting request.
	 */
	private record Waiting(String account, int priority, double weight, long queuedAt) implements QueueEntry {

	}

}
