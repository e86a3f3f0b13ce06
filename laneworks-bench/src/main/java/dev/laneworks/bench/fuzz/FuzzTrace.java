package dev.laneworks.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Sequence of inputs to a {@link FakeCluster}, generated from a seed or recorded.
 * <p>
 * A recorded trace consists of lines of JSON: first {@code {"seed": …, "about": …}}, then
 * one input per line. Blank lines and lines that begin with {@code //} are ignored.
 *
 * @param seed the seed of random delays and losses
 * @param about a short description of the trace
 * @param actions the inputs in the order in which they are applied
 * @since 0.1
 */
public record FuzzTrace(long seed, String about, List<FuzzAction> actions) {

	private static final ObjectMapper MAPPER = JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build();

	private static final int MIN_ACTIONS = 20;

	private static final int EXTRA_ACTIONS = 60;

	public FuzzTrace {
		actions = List.copyOf(actions);
	}

	/**
	 * Create a trace from a seed.
	 * @param seed the seed of its inputs, delays and losses
	 * @return the same trace for the same seed
	 */
	public static FuzzTrace generate(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int count = MIN_ACTIONS + random.nextInt(EXTRA_ACTIONS);
		List<FuzzAction> actions = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			actions.add(randomAction(random));
			actions.add(new FuzzAction.Advance(random.nextInt(random.nextBoolean() ? 50 : 1_500)));
		}
		return new FuzzTrace(seed, "generated", actions);
	}

	/**
	 * Create a random input.
	 * @param random the source of random numbers
	 * @return an input of any kind but {@link FuzzAction.Advance} and
	 * {@link FuzzAction.Expect}
	 */
	public static FuzzAction randomAction(SplittableRandom random) {
		int a = random.nextInt(8);
		int b = random.nextInt(8);
		int millis = random.nextInt(random.nextBoolean() ? 400 : 8_000);
		return switch (random.nextInt(26)) {
			case 0, 1, 2, 3, 4 -> new FuzzAction.Submit(a, 1 + random.nextInt(80), random.nextBoolean(), b);
			case 5, 6, 7, 8 -> new FuzzAction.SubmitOnce(a, random.nextInt(6), 1 + random.nextInt(40));
			case 9, 10 -> new FuzzAction.SubmitWithTicket(a, random.nextInt(6), 1 + random.nextInt(40));
			case 11 -> new FuzzAction.CallerDisconnect(random.nextInt(100));
			case 12, 13 -> new FuzzAction.CallerResume(random.nextInt(100), a);
			case 14 -> new FuzzAction.KillEntry(a);
			case 15 -> new FuzzAction.KillSidecar(a);
			case 16 -> new FuzzAction.KillEngine(a);
			case 17 -> new FuzzAction.PauseEntry(a, millis);
			case 18 -> new FuzzAction.PauseSidecar(a, millis);
			case 19 -> new FuzzAction.DropLink(a, b);
			case 20 -> new FuzzAction.StallLink(a, b, random.nextBoolean(), random.nextBoolean(), millis);
			case 21 -> new FuzzAction.StopSidecar(a);
			case 22, 23 -> new FuzzAction.Publish(a);
			case 24 -> random.nextBoolean() ? new FuzzAction.ServiceDown(millis) : new FuzzAction.PublishInvalid();
			default -> new FuzzAction.ServiceStale(millis);
		};
	}

	/**
	 * Parse a recorded trace.
	 * @param lines the lines of the trace file
	 * @return the trace with its seed and inputs
	 * @throws IllegalArgumentException if a line is invalid or the trace has no header
	 */
	public static FuzzTrace read(List<String> lines) {
		List<FuzzAction> actions = new ArrayList<>();
		Header header = null;
		int number = 0;
		for (String line : lines) {
			number++;
			if (line.isBlank() || line.startsWith("//")) {
				continue;
			}
			try {
				if (header == null) {
					header = MAPPER.readValue(line, Header.class);
				}
				else {
					actions.add(MAPPER.readValue(line, FuzzAction.class));
				}
			}
			catch (JsonProcessingException ex) {
				throw new IllegalArgumentException("line " + number + ": " + ex.getOriginalMessage(), ex);
			}
		}
		if (header == null) {
			throw new IllegalArgumentException("the trace is empty");
		}
		return new FuzzTrace(header.seed(), header.about(), actions);
	}

	/**
	 * Format the trace for {@link #read}.
	 * @return the lines of the trace file
	 */
	public List<String> write() {
		List<String> lines = new ArrayList<>();
		try {
			lines.add(MAPPER.writeValueAsString(new Header(this.seed, this.about)));
			for (FuzzAction action : this.actions) {
				lines.add(MAPPER.writerFor(FuzzAction.class).writeValueAsString(action));
			}
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write the trace as JSON", ex);
		}
		return lines;
	}

	/**
	 * Play the trace in a new cluster.
	 * @return the cluster in its final state
	 * @throws InvariantViolationException if an invariant does not hold during or after
	 * the trace
	 */
	public FakeCluster play() {
		FakeCluster cluster = new FakeCluster(this.seed);
		cluster.play(this.actions);
		return cluster;
	}

	/**
	 * Shorten the trace by omitting inputs without which it still violates an invariant.
	 * @return the shortest violating trace found, or this trace if it violates no
	 * invariant
	 */
	public FuzzTrace shrink() {
		FuzzTrace best = this;
		int chunk = Math.max(1, best.actions.size() / 2);
		while (chunk > 0) {
			for (int start = 0; start + chunk <= best.actions.size();) {
				FuzzTrace shorter = best.without(start, chunk);
				if (shorter.violatesInvariant()) {
					best = shorter;
				}
				else {
					start += chunk;
				}
			}
			chunk /= 2;
		}
		return best;
	}

	private FuzzTrace without(int start, int count) {
		List<FuzzAction> remaining = new ArrayList<>(this.actions);
		remaining.subList(start, start + count).clear();
		return new FuzzTrace(this.seed, this.about, remaining);
	}

	private boolean violatesInvariant() {
		try {
			play();
			return false;
		}
		catch (InvariantViolationException ex) {
			return true;
		}
	}

	private record Header(long seed, String about) {

	}

}
