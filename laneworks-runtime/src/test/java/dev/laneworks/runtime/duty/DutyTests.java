package dev.laneworks.runtime.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Duty} and {@link Supervisor}.
 */
class DutyTests {

	private static final int CAPACITY = 4;

	private static final int COMMANDS = 50;

	private static final long WAIT_SECONDS = 10;

	private final AtomicReference<Throwable> escalatedFailure = new AtomicReference<>();

	private final Supervisor supervisor = new Supervisor("test", 2, Duration.ofMinutes(1), this.escalatedFailure::set);

	@Test
	void dutyMaySubmitMoreCommandsToItselfThanItsQueueHolds() throws InterruptedException {
		Duty<List<Integer>> duty = start();
		CountDownLatch done = new CountDownLatch(COMMANDS);
		duty.put((s) -> {
			for (int i = 0; i < COMMANDS; i++) {
				int number = i;
				duty.put((t) -> {
					t.add(number);
					done.countDown();
				});
			}
		});
		assertThat(done.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		this.supervisor.stop();
	}

	@Test
	void fullQueueRejectsAndCountsOffers() throws InterruptedException {
		Duty<List<Integer>> duty = start();
		CountDownLatch blocked = new CountDownLatch(1);
		CountDownLatch release = new CountDownLatch(1);
		duty.put((s) -> {
			blocked.countDown();
			awaitLatch(release);
		});
		blocked.await();
		int accepted = 0;
		for (int i = 0; i < COMMANDS; i++) {
			accepted += duty.offer((s) -> {
			}) ? 1 : 0;
		}
		release.countDown();
		assertThat(accepted).isAtLeast(CAPACITY);
		assertThat(duty.rejectedCount()).isEqualTo(COMMANDS - accepted);
		assertThat(accepted).isLessThan(COMMANDS);
		this.supervisor.stop();
	}

	@Test
	void restartsFailedDutyUntilFailureLimit() throws InterruptedException {
		Duty<List<Integer>> duty = start();
		for (int i = 0; i < 2; i++) {
			duty.put((s) -> {
				throw new IllegalStateException("on purpose");
			});
		}
		CountDownLatch alive = new CountDownLatch(1);
		duty.put((s) -> alive.countDown());
		assertThat(alive.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		assertThat(this.escalatedFailure.get()).isNull();
		CountDownLatch after = new CountDownLatch(1);
		duty.put((s) -> {
			throw new IllegalStateException("once more");
		});
		duty.put((s) -> after.countDown());
		assertThat(after.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
		assertThat(this.escalatedFailure.get()).hasMessageThat().isEqualTo("once more");
		this.supervisor.stop();
	}

	private Duty<List<Integer>> start() {
		return this.supervisor.start(new Duty<>("test", new ArrayList<>(), CAPACITY, Duration.ofMillis(10), (s) -> {
		}));
	}

	private static void awaitLatch(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
