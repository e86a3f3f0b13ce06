package dev.laneworks.core.ingress;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Event loop in virtual time. Each of its turns handles all inputs that have arrived and
 * then the probe, as the I/O thread of an entry does.
 */
final class LoadedLoop {

	/** Reading a request and reading its answer. */
	private static final int PASSES = 2;

	private static final long PASS_MICROS = 1_000;

	private static final long REFUSAL_MICROS = 300;

	private static final long TARGET_MICROS = 15_000;

	private static final long PROBE_INTERVAL_MICROS = 20_000;

	static final int CAPACITY_PER_SECOND = (int) (1_000_000 / (PASSES * PASS_MICROS));

	private final PriorityQueue<Input> inputs = new PriorityQueue<>(Comparator.comparingLong(Input::at));

	private final IngressAdmission admission;

	private final long admissionGoalMillis;

	private final long goalMillis;

	private long now = 1_000_000;

	private long probeDue = this.now;

	private int open;

	private int answered;

	private int inTime;

	private int refused;

	LoadedLoop(IngressAdmission admission, long admissionGoalMillis, long goalMillis) {
		this.admission = admission;
		this.admissionGoalMillis = admissionGoalMillis;
		this.goalMillis = goalMillis;
	}

	LoadedLoop run(int perSecond, int seconds) {
		Random random = new Random(7);
		long start = this.now;
		for (int i = 0; i < perSecond * seconds; i++) {
			long at = start + random.nextLong(seconds * 1_000_000L);
			this.inputs.add(new Input(at, at, 1));
		}
		while (!this.inputs.isEmpty()) {
			turn(this.now);
		}
		return this;
	}

	int answered() {
		return this.answered;
	}

	int inTime() {
		return this.inTime;
	}

	int refused() {
		return this.refused;
	}

	private void turn(long startedAt) {
		while (!this.inputs.isEmpty() && this.inputs.peek().at() <= startedAt) {
			handle(this.inputs.remove());
		}
		if (this.now >= this.probeDue) {
			this.probeDue = this.now + PROBE_INTERVAL_MICROS;
			this.admission.recordProbe(this.now / 1_000, this.probeDue / 1_000);
		}
		if (this.now == startedAt && !this.inputs.isEmpty()) {
			this.now = Math.max(this.now + 1, Math.min(this.probeDue, this.inputs.peek().at()));
		}
	}

	private void handle(Input input) {
		if (input.pass() == 1
				&& this.admission.refuse(this.admissionGoalMillis, new IngressLoad(this.open, 0), this.now / 1_000)
					.isPresent()) {
			this.now += REFUSAL_MICROS;
			this.refused++;
			return;
		}
		this.now += PASS_MICROS;
		this.open += (input.pass() == 1) ? 1 : 0;
		if (input.pass() < PASSES) {
			long readyAt = this.now + TARGET_MICROS;
			this.inputs.add(new Input(readyAt, input.arrivedAt(), input.pass() + 1));
			return;
		}
		this.open--;
		this.answered++;
		this.inTime += (this.now - input.arrivedAt() <= this.goalMillis * 1_000) ? 1 : 0;
	}

	private record Input(long at, long arrivedAt, int pass) {

	}

}
