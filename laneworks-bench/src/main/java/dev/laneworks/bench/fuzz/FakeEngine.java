package dev.laneworks.bench.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.host.TargetLoss;

/**
 * Engine that identifies generations by name, retains their output for a time and can
 * crash.
 */
final class FakeEngine {

	private static final long TOKEN_INTERVAL_MILLIS = 20;

	private static final long RETENTION_MILLIS = 60_000;

	private final VirtualTime time;

	private final Oracle oracle;

	private final int index;

	private Map<String, Output> outputs = new HashMap<>();

	private Set<String> cancelled = new HashSet<>();

	private boolean down;

	FakeEngine(VirtualTime time, Oracle oracle, int index) {
		this.time = time;
		this.oracle = oracle;
		this.index = index;
	}

	// Start a generation, or attach to its output if it has already been started.
	void start(String name, int length, FakeStream stream) {
		if (this.down) {
			stream.lost(TargetLoss.NOT_SENT);
			return;
		}
		if (this.cancelled.contains(name)) {
			stream.lost(TargetLoss.UNKNOWN);
			return;
		}
		if (!this.outputs.containsKey(name)) {
			this.oracle.recordRun(name, this.index);
			Output output = new Output(name, length);
			this.outputs.put(name, output);
			Map<String, Output> outputsAtStart = this.outputs;
			this.time.schedule(TOKEN_INTERVAL_MILLIS, () -> emit(outputsAtStart, output));
		}
		this.outputs.get(name).attach(stream, 0);
	}

	void reattach(String name, int offset, FakeStream stream) {
		if (this.down) {
			stream.lost(TargetLoss.NOT_SENT);
			return;
		}
		Output output = this.outputs.get(name);
		if (output == null) {
			stream.lost(TargetLoss.UNKNOWN);
			return;
		}
		output.attach(stream, offset);
	}

	void cancel(String name) {
		this.cancelled.add(name);
		this.outputs.remove(name);
	}

	boolean holds(String name) {
		return !this.down && this.outputs.containsKey(name);
	}

	void crash(long downMillis) {
		Map<String, Output> old = this.outputs;
		this.outputs = new HashMap<>();
		this.cancelled = new HashSet<>();
		this.down = true;
		this.time.schedule(downMillis, () -> this.down = false);
		old.values().forEach(Output::breakStreams);
	}

	private void emit(Map<String, Output> outputsAtStart, Output output) {
		if (outputsAtStart != this.outputs || this.outputs.get(output.name) != output) {
			return;
		}
		output.produced++;
		output.deliverProduced();
		if (output.produced < output.length) {
			this.time.schedule(TOKEN_INTERVAL_MILLIS, () -> emit(outputsAtStart, output));
		}
		else {
			this.time.schedule(RETENTION_MILLIS, () -> outputsAtStart.remove(output.name, output));
		}
	}

	/**
	 * Output of one generation and the responses that read it.
	 */
	private static final class Output {

		private final String name;

		private final int length;

		private final Map<FakeStream, Integer> nextOffsets = new HashMap<>();

		private int produced;

		Output(String name, int length) {
			this.name = name;
			this.length = length;
		}

		void attach(FakeStream stream, int offset) {
			this.nextOffsets.put(stream, offset);
			deliverProduced();
		}

		void deliverProduced() {
			for (FakeStream stream : new ArrayList<>(this.nextOffsets.keySet())) {
				int offset = this.nextOffsets.get(stream);
				while (offset < this.produced) {
					stream.chunk(offset, Oracle.tokenData(this.name, offset));
					offset++;
				}
				this.nextOffsets.put(stream, offset);
				if (this.produced == this.length) {
					stream.end(this.length);
					this.nextOffsets.remove(stream);
				}
			}
		}

		void breakStreams() {
			List<FakeStream> streams = new ArrayList<>(this.nextOffsets.keySet());
			this.nextOffsets.clear();
			streams.forEach((s) -> s.lost(TargetLoss.BROKEN));
		}

	}

}
