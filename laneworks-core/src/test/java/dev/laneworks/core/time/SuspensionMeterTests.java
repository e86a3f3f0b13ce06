package dev.laneworks.core.time;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link SuspensionMeter} with simulated clocks.
 */
class SuspensionMeterTests {

	private long monotonic = 1_000_000;

	private long wallClock = 1_700_000_000_000L;

	private long bootClock = 5_000_000;

	/** The delay of the thread at its next reading of the boot clock, in milliseconds. */
	private long readingDelay;

	private final SuspensionMeter meter = new SuspensionMeter(() -> this.monotonic, () -> this.wallClock);

	@Test
	void addsASuspension() {
		this.meter.useBootClock(this::readBootClock);
		suspend(7_000);
		assertThat(this.meter.millis()).isEqualTo(this.monotonic + 7_000);
		assertThat(this.meter.suspendedMillis()).isEqualTo(7_000);
	}

	@Test
	void adjustmentOfTheWallClockIsNoSuspension() {
		this.meter.useBootClock(this::readBootClock);
		this.wallClock += 2_400;
		assertThat(this.meter.millis()).isEqualTo(this.monotonic);
		this.wallClock -= 4_800;
		assertThat(this.meter.millis()).isEqualTo(this.monotonic);
	}

	@Test
	void lookFindsASuspensionHiddenByAnAdjustment() {
		this.meter.useBootClock(this::readBootClock);
		suspend(3_000);
		this.wallClock -= 3_000;
		this.meter.readBootClock();
		assertThat(this.meter.millis()).isEqualTo(this.monotonic + 3_000);
	}

	@Test
	void returnsMonotonicTimeWithoutABootClock() {
		suspend(7_000);
		assertThat(this.meter.millis()).isEqualTo(this.monotonic);
	}

	@Test
	void ignoresSuspensionsBeforeTheBootClockIsSet() {
		suspend(7_000);
		this.meter.useBootClock(this::readBootClock);
		assertThat(this.meter.millis()).isEqualTo(this.monotonic);
	}

	// Guards against counting a delay between two readings as a suspension.
	@Test
	void ignoresDelayBetweenReadings() {
		this.meter.useBootClock(this::readBootClock);
		this.readingDelay = 4_000;
		this.wallClock += 100;
		assertThat(this.meter.millis()).isEqualTo(this.monotonic);
		assertThat(this.meter.suspendedMillis()).isEqualTo(0);
	}

	// For random sequences of suspensions, adjustments and delays, the time equals that
	// of the boot clock and never decreases; only a hidden suspension needs a reading of
	// the boot clock.
	@Test
	void followsTheBootClockForRandomSequences() {
		for (int seed = 0; seed < 2_000; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			SuspensionMeter simulated = new SuspensionMeter(() -> this.monotonic, () -> this.wallClock);
			simulated.useBootClock(this::readBootClock);
			long offset = this.bootClock - this.monotonic;
			long before = simulated.millis();
			for (int i = 0; i < 40; i++) {
				boolean isHidden = applyRandomEvent(random);
				if (isHidden) {
					simulated.readBootClock();
				}
				long current = simulated.millis();
				assertThat(current).isAtLeast(before);
				assertThat(current - this.monotonic).isEqualTo(this.bootClock - this.monotonic - offset);
				before = current;
			}
		}
	}

	// Returns whether the wall clock hides the event.
	private boolean applyRandomEvent(SplittableRandom random) {
		switch (random.nextInt(6)) {
			case 0 -> suspend(200 + random.nextInt(29_800));
			case 1 -> this.wallClock += random.nextInt(-3_000, 3_000);
			case 2 -> {
				long millis = 200 + random.nextInt(5_000);
				suspend(millis);
				this.wallClock -= millis;
				return true;
			}
			case 3 -> this.wallClock += random.nextInt(-5, 5);
			case 4 -> this.readingDelay = random.nextInt(5_000);
			default -> passTime(random.nextInt(10_000));
		}
		return false;
	}

	private void passTime(long millis) {
		this.monotonic += millis;
		this.wallClock += millis;
		this.bootClock += millis;
	}

	private void suspend(long millis) {
		this.wallClock += millis;
		this.bootClock += millis;
	}

	private long readBootClock() {
		long read = this.bootClock;
		passTime(this.readingDelay);
		this.readingDelay = 0;
		return read;
	}

}
