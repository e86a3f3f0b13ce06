package dev.laneworks.bench.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.host.TargetLoss;

/**
 * An engine that knows generations by name, holds their output and can die.
 */
final class FakeEngine {

	private static final long TOKEN_MILLIS = 20;

	private static final long HOLD_MILLIS = 60_000;

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

	// Takes a request that was on its way; a name that is held is not run again.
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
			this.oracle.ran(name, this.index);
			Output output = new Output(name, length);
			this.outputs.put(name, output);
			Map<String, Output> memory = this.outputs;
			this.time.after(TOKEN_MILLIS, () -> emit(memory, output));
		}
		this.outputs.get(name).read(stream, 0);
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
		output.read(stream, offset);
	}

	void cancel(String name) {
		this.cancelled.add(name);
		this.outputs.remove(name);
	}

	boolean holds(String name) {
		return !this.down && this.outputs.containsKey(name);
	}

	void die(long backAfterMillis) {
		Map<String, Output> old = this.outputs;
		this.outputs = new HashMap<>();
		this.cancelled = new HashSet<>();
		this.down = true;
		this.time.after(backAfterMillis, () -> this.down = false);
		old.values().forEach(Output::breakStreams);
	}

	private void emit(Map<String, Output> memory, Output output) {
		if (memory != this.outputs || this.outputs.get(output.name) != output) {
			return;
		}
		output.made++;
		output.pump();
		if (output.made < output.length) {
			this.time.after(TOKEN_MILLIS, () -> emit(memory, output));
		}
		else {
			this.time.after(HOLD_MILLIS, () -> memory.remove(output.name, output));
		}
	}

	/**
	 * The output of one generation.
	 */
	private static final class Output {

		private final String name;

		private final int length;

		private final Map<FakeStream, Integer> readers = new HashMap<>();

		private int made;

		Output(String name, int length) {
			this.name = name;
			this.length = length;
		}

		void read(FakeStream stream, int offset) {
			this.readers.put(stream, offset);
			pump();
		}

		void pump() {
			for (FakeStream stream : new ArrayList<>(this.readers.keySet())) {
				int offset = this.readers.get(stream);
				while (offset < this.made) {
					stream.chunk(offset, Oracle.token(this.name, offset));
					offset++;
				}
				this.readers.put(stream, offset);
				if (this.made == this.length) {
					stream.end(this.length);
					this.readers.remove(stream);
				}
			}
		}

		void breakStreams() {
			List<FakeStream> streams = new ArrayList<>(this.readers.keySet());
			this.readers.clear();
			streams.forEach((s) -> s.lost(TargetLoss.BROKEN));
		}

	}

}
