package dev.laneworks.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Inputs to a world, made from a seed or recorded.
 * <p>
 * Recorded, a trace is lines of JSON: first {@code {"seed": …, "about": …}}, then one
 * input a line. Lines that begin with {@code //} are comments.
 *
 * @param seed decides delays and losses
 * @param about what the trace shows
 * @param actions the inputs
 * @since 0.1
 */
public record FuzzTrace(long seed, String about, List<FuzzAction> actions) {

	private static final ObjectMapper MAPPER = JsonMapper.builder().enable(JsonParser.Feature.ALLOW_COMMENTS).build();

	private static final int MIN_ACTIONS = 20;

	private static final int MORE_ACTIONS = 60;

	public FuzzTrace {
		actions = List.copyOf(actions);
	}

	/**
	 * Make a trace.
	 * @param seed decides all of it
	 * @return the trace
	 */
	public static FuzzTrace generate(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int count = MIN_ACTIONS + random.nextInt(MORE_ACTIONS);
		List<FuzzAction> actions = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			actions.add(action(random));
			actions.add(new FuzzAction.Advance(random.nextInt(random.nextBoolean() ? 50 : 1_500)));
		}
		return new FuzzTrace(seed, "generated", actions);
	}

	/**
	 * Make one input.
	 * @param random the source of choices
	 * @return the input
	 */
	public static FuzzAction action(SplittableRandom random) {
		int a = random.nextInt(8);
		int b = random.nextInt(8);
		int millis = random.nextInt(random.nextBoolean() ? 400 : 8_000);
		return switch (random.nextInt(26)) {
			case 0, 1, 2, 3, 4 -> new FuzzAction.Ask(a, 1 + random.nextInt(80), random.nextBoolean(), b);
			case 5, 6, 7, 8 -> new FuzzAction.AskOnce(a, random.nextInt(6), 1 + random.nextInt(40));
			case 9, 10 -> new FuzzAction.AskWithTicket(a, random.nextInt(6), 1 + random.nextInt(40));
			case 11 -> new FuzzAction.Leave(random.nextInt(100));
			case 12, 13 -> new FuzzAction.ComeBack(random.nextInt(100), a);
			case 14 -> new FuzzAction.KillEntry(a);
			case 15 -> new FuzzAction.KillSidecar(a);
			case 16 -> new FuzzAction.KillEngine(a);
			case 17 -> new FuzzAction.FreezeEntry(a, millis);
			case 18 -> new FuzzAction.FreezeSidecar(a, millis);
			case 19 -> new FuzzAction.DropLink(a, b);
			case 20 -> new FuzzAction.CutLink(a, b, random.nextBoolean(), random.nextBoolean(), millis);
			case 21 -> new FuzzAction.StopSidecar(a);
			case 22, 23 -> new FuzzAction.Publish(a);
			case 24 -> random.nextBoolean() ? new FuzzAction.ServiceDown(millis) : new FuzzAction.PublishBad();
			default -> new FuzzAction.ServiceStale(millis);
		};
	}

	/**
	 * Read a recorded trace.
	 * @param lines its lines
	 * @return the trace
	 * @throws IllegalArgumentException if a line is not an input
	 */
	public static FuzzTrace read(List<String> lines) {
		List<FuzzAction> actions = new ArrayList<>();
		Head head = null;
		int number = 0;
		for (String line : lines) {
			number++;
			if (line.isBlank() || line.startsWith("//")) {
				continue;
			}
			try {
				if (head == null) {
					head = MAPPER.readValue(line, Head.class);
				}
				else {
					actions.add(MAPPER.readValue(line, FuzzAction.class));
				}
			}
			catch (JsonProcessingException ex) {
				throw new IllegalArgumentException("line " + number + ": " + ex.getOriginalMessage(), ex);
			}
		}
		if (head == null) {
			throw new IllegalArgumentException("the trace is empty");
		}
		return new FuzzTrace(head.seed(), head.about(), actions);
	}

	/**
	 * Write the trace.
	 * @return its lines
	 */
	public List<String> write() {
		List<String> lines = new ArrayList<>();
		try {
			lines.add(MAPPER.writeValueAsString(new Head(this.seed, this.about)));
			for (FuzzAction action : this.actions) {
				lines.add(MAPPER.writerFor(FuzzAction.class).writeValueAsString(action));
			}
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("a trace can't be written", ex);
		}
		return lines;
	}

	/**
	 * Play the trace in a new world.
	 * @return the world at its end
	 * @throws PromiseBrokenException if a promise was broken
	 */
	public World play() {
		World world = new World(this.seed);
		world.play(this.actions);
		return world;
	}

	/**
	 * Return the shortest trace found that still breaks a promise, by leaving out inputs.
	 * @return a trace that breaks a promise, or this one if it breaks none
	 */
	public FuzzTrace shrink() {
		FuzzTrace best = this;
		int chunk = Math.max(1, best.actions.size() / 2);
		while (chunk > 0) {
			for (int start = 0; start + chunk <= best.actions.size();) {
				FuzzTrace shorter = best.without(start, chunk);
				if (shorter.breaksPromise()) {
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
		List<FuzzAction> rest = new ArrayList<>(this.actions);
		rest.subList(start, start + count).clear();
		return new FuzzTrace(this.seed, this.about, rest);
	}

	private boolean breaksPromise() {
		try {
			play();
			return false;
		}
		catch (PromiseBrokenException ex) {
			return true;
		}
	}

	private record Head(long seed, String about) {

	}

}
