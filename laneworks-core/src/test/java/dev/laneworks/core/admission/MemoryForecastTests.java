package dev.laneworks.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import dev.laneworks.core.message.OperationKind;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link LengthBuckets}, {@link SurvivalCurve}, {@link LearnedLengthModel} and
 * {@link MemoryForecast}.
 */
class MemoryForecastTests {

	private static final LengthClass TYPE = new LengthClass("a", "m", OperationKind.COMPLETION);

	private final LearnedLengthModel lengths = new LearnedLengthModel(64, 16);

	@Property(seed = "4", tries = 500)
	void bucketBoundsContainTheirLengths(@ForAll @LongRange(min = 0, max = 90_000) long length) {
		int bucket = LengthBuckets.of(length);
		assertThat(length).isAtLeast((long) LengthBuckets.lower(bucket));
		assertThat(length).isLessThan((long) LengthBuckets.lower(bucket + 1));
	}

	@Property(seed = "5", tries = 50)
	void survivalNeverIncreases(@ForAll long seed) {
		SurvivalCurve curve = new SurvivalCurve(32);
		SplittableRandom random = new SplittableRandom(seed);
		for (int i = 0; i < 100; i++) {
			curve.observe(1 + random.nextInt(1 + random.nextInt(20_000)));
		}
		double last = 1;
		for (long length = 0; length < 20_000; length += 7) {
			double survival = curve.survival(length);
			assertThat(survival).isAtMost(last);
			last = survival;
		}
	}

	@Test
	void adaptsToASuddenShiftOfLengths() {
		SurvivalCurve curve = new SurvivalCurve(32);
		for (int i = 0; i < 500; i++) {
			curve.observe(50);
		}
		assertThat(curve.survival(100)).isLessThan(0.01);
		for (int i = 0; i < 96; i++) {
			curve.observe(2_000);
		}
		assertThat(curve.survival(100)).isGreaterThan(0.8);
	}

	@Test
	void admitsMoreShortOutputsThanLongOnes() {
		for (int i = 0; i < 300; i++) {
			this.lengths.observe(TYPE, 50);
		}
		int whenShort = countAdmitted(10_000);
		for (int i = 0; i < 300; i++) {
			this.lengths.observe(TYPE, 1_000);
		}
		int whenLong = countAdmitted(10_000);
		assertThat(whenShort).isAtLeast(60);
		assertThat(whenLong).isAtMost(12);
		assertThat(whenLong).isAtLeast(5);
	}

	@Test
	void limitsTheForecastToTheMaximumLength() {
		MemoryForecast forecast = new MemoryForecast(this.lengths, 2);
		assertThat(forecast.fits(new RunningGeneration(10, 0, 20), 30)).isTrue();
		assertThat(forecast.fits(new RunningGeneration(10, 0, 20), 9)).isFalse();
	}

	private int countAdmitted(long capacity) {
		MemoryForecast forecast = new MemoryForecast(this.lengths, 2);
		List<RunningGeneration> running = new ArrayList<>();
		RunningGeneration next = new RunningGeneration(50, 0, 100_000);
		while (forecast.fits(next, capacity)) {
			running.add(next);
			forecast.refresh(running);
		}
		return running.size();
	}

	/**
	 * Running generation with fixed values.
	 */
	private record RunningGeneration(int promptTokens, int outputTokens, int maxTokens) implements MemoryUser {

		@Override
		public LengthClass lengthClass() {
			return TYPE;
		}

	}

}
