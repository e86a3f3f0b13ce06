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

	private final AdmissionQueue<QueuedRequest> queue = new AdmissionQueue<>(1_000);

	@Test
	void returnsHigherPriorityFirst() {
		this.queue.add(new QueuedRequest("a", 0, 1, 0));
		QueuedRequest live = new QueuedRequest("a", 3, 1, 5);
		this.queue.add(live);
		assertThat(this.queue.peek(10).orElseThrow()).isEqualTo(live);
	}

	@Test
	void raisesThePriorityOfWaitingRequests() {
		QueuedRequest old = new QueuedRequest("a", 0, 1, 0);
		this.queue.add(old);
		this.queue.add(new QueuedRequest("b", 3, 1, 4_000));
		assertThat(this.queue.peek(4_000).orElseThrow()).isEqualTo(old);
	}

	@Test
	void servesAccountsByWeight() {
		for (int i = 0; i < 400; i++) {
			this.queue.add(new QueuedRequest("large", 1, 1, i));
			this.queue.add(new QueuedRequest("double", 1, 2, i));
		}
		for (int i = 0; i < 100; i++) {
			this.queue.add(new QueuedRequest("small", 1, 1, i));
		}
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 200; i++) {
			QueuedRequest next = this.queue.peek(500).orElseThrow();
			this.queue.remove(next);
			this.queue.recordServed(next.account(), next.weight(), 100);
			served.merge(next.account(), 1, Integer::sum);
		}
		assertThat(served).containsExactly("large", 50, "double", 100, "small", 50);
	}

	@Test
	void givesNoCreditForIdleTime() {
		this.queue.add(new QueuedRequest("busy", 1, 1, 0));
		this.queue.recordServed("busy", 1, 10_000);
		this.queue.add(new QueuedRequest("late", 1, 1, 1));
		List<String> order = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			this.queue.add(new QueuedRequest("busy", 1, 1, 2 + i));
			this.queue.add(new QueuedRequest("late", 1, 1, 2 + i));
			QueuedRequest next = this.queue.peek(10).orElseThrow();
			this.queue.remove(next);
			this.queue.recordServed(next.account(), 1, 100);
			order.add(next.account());
		}
		assertThat(order.stream().filter("busy"::equals).count()).isEqualTo(3);
	}

	/**
	 * Queued request with fixed values.
	 */
	private record QueuedRequest(String account, int priority, double weight, long queuedAt) implements QueueEntry {

	}

}
