package dev.laneworks.core.ingress;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Event loop in virtual time. Each of its turns handles all inputs that have arrived and
 * then the probe, as the I/O thread of an entry does. A request has two inputs, of 1 ms
 * each: it is read and its answer is read.
 */
final class LoadedLoop {

	static final int CAPACITY_PER_SECOND = 500;

	private final PriorityQueue<Input> inputs = new PriorityQueue<>(Comparator.comparingLong(Input::micros));

	private long now = 1_000_000;

	private long probeDue = this.now;

	int answered;

	int inTime;

	int refused;

	// Runs until all of the given requests are answered or refused.
	LoadedLoop run(IngressAdmission admission, long goalMillis, int perSecond, int seconds) {
		new Random(7).longs(perSecond * seconds, this.now, this.now + seconds * 1_000_000L)
			.forEach((at) -> this.inputs.add(new Input(at, at, false)));
		while (!this.inputs.isEmpty()) {
			long start = this.now;
			while (!this.inputs.isEmpty() && this.inputs.peek().micros() <= start) {
				handle(this.inputs.remove(), admission, goalMillis);
			}
			if (this.now >= this.probeDue) {
				this.probeDue = this.now + 20_000;
				admission.recordProbe(this.now / 1_000, this.probeDue / 1_000);
			}
			this.now = Math.max(this.now, Math.min(this.probeDue, start + 100));
		}
		return this;
	}

	private void handle(Input input, IngressAdmission admission, long goalMillis) {
		IngressLoad load = new IngressLoad(this.inputs.size(), 0);
		if (!input.isAnswer() && admission.refuse(goalMillis, load, this.now / 1_000).isPresent()) {
			this.now += 300;
			this.refused++;
			return;
		}
		this.now += 1_000;
		if (!input.isAnswer()) {
			this.inputs.add(new Input(this.now + 15_000, input.arrivedAt(), true));
			return;
		}
		this.answered++;
		this.inTime += (this.now - input.arrivedAt() <= goalMillis * 1_000) ? 1 : 0;
	}

	private record Input(long micros, long arrivedAt, boolean isAnswer) {

	}

}
