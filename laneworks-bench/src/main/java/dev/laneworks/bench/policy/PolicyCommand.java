package dev.laneworks.bench.policy;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.laneworks.core.admission.LearnedLengthModel;
import dev.laneworks.core.host.HostSettings;
import dev.laneworks.runtime.http.JsonText;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.ProgramCommand;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Compares the core's policy with two baselines and a clairvoyant on made traces, in
 * virtual time.
 *
 * @since 0.1
 */
public final class PolicyCommand implements ProgramCommand {

	private static final int[] CAPS = { 8, 12, 16, 20, 24, 32, 40, 48, 64 };

	private static final long SEED = 11;

	private static final long HELD_OUT_SEED = 4711;

	private static final int HALF_LIFE = 256;

	private static final double OVERLOAD = 2;

	@Override
	public String name() {
		return "policy";
	}

	@Override
	public String summary() {
		return "[--trace NAME] [--deviations D] [--ageing MS] [--high-water W] [--json]  the policy beside baselines on made traces, in virtual time";
	}

	@Override
	public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
		OptionParser parser = new OptionParser();
		OptionSpec<Double> deviations = parser.accepts("deviations")
			.withRequiredArg()
			.ofType(Double.class)
			.defaultsTo(HostSettings.defaults(0).deviations());
		OptionSpec<Long> ageing = parser.accepts("ageing")
			.withRequiredArg()
			.ofType(Long.class)
			.defaultsTo(HostSettings.defaults(0).ageingMillis());
		OptionSpec<Double> highWater = parser.accepts("high-water")
			.withRequiredArg()
			.ofType(Double.class)
			.defaultsTo(HostSettings.defaults(0).highWater());
		OptionSpec<String> only = parser.accepts("trace").withRequiredArg();
		OptionSpec<Void> json = parser.accepts("json");
		try {
			OptionSet options = parser.parse(arguments.toArray(new String[0]));
			List<MadeTrace> traces = List.of(MadeTrace.lantern(SEED, 1), MadeTrace.erongo(SEED, 1),
					MadeTrace.twoYears(SEED, 1), MadeTrace.lantern(SEED, OVERLOAD), MadeTrace.erongo(SEED, OVERLOAD),
					MadeTrace.shift(HELD_OUT_SEED, 1), MadeTrace.erongo(HELD_OUT_SEED, 1));
			List<String> names = List.of("lantern", "erongo", "two-years", "lantern x2", "erongo x2",
					"shift (held out)", "erongo (held out)");
			for (int i = 0; i < traces.size(); i++) {
				if (!options.has(only) || options.valuesOf(only).contains(names.get(i))) {
					HostSettings settings = settings(traces.get(i), options.valueOf(deviations),
							options.valueOf(highWater), options.valueOf(ageing));
					compare(names.get(i), traces.get(i), settings, options.has(json), out);
				}
			}
			return ExitCode.OK;
		}
		catch (OptionException ex) {
			err.println("policy: " + ex.getMessage());
			return ExitCode.USAGE;
		}
	}

	private static void compare(String name, MadeTrace trace, HostSettings settings, boolean json, PrintStream out) {
		List<Row> rows = new ArrayList<>();
		rows.add(new Row("(a) round robin", run(trace, Baselines::roundRobin)));
		rows.add(bestCap(trace));
		rows.add(new Row("(c) laneworks", run(trace, (r) -> new CorePolicy(r, settings,
				new LearnedLengthModel(HALF_LIFE, LearnedLengthModel.DEFAULT_MAX_CLASSES), false))));
		HostSettings knowing = settings(trace, 0, settings.highWater(), settings.ageingMillis());
		rows.add(new Row("(d) clairvoyant",
				run(trace, (r) -> new CorePolicy(r, knowing, new CorePolicy.Clairvoyance(), true))));
		out.printf("%n%s: %d requests, %d engines of %d tokens, %d s%n", name, trace.arrivals().size(), trace.engines(),
				trace.capacityTokens(), trace.horizonMillis() / 1000);
		out.printf("%-18s %9s %9s %9s %9s %9s %9s %9s %7s %8s%n", "", "preempted", "stall p50", "stall p99", "gap p99",
				"gap p99.9", "first p95", "tokens/s", "worst", "refused");
		out.printf("%-18s %9s %9s %9s %9s %9s %9s %9s %7s %8s%n", "", "", "s", "s", "ms", "ms", "s", "", "share", "");
		for (Row row : rows) {
			print(row, trace, out);
			if (json) {
				out.println(json(name, row, trace));
			}
		}
	}

	private static Row bestCap(MadeTrace trace) {
		Row best = null;
		for (int cap : CAPS) {
			Row row = new Row("(b) cap " + cap, run(trace, (r) -> Baselines.leastOutstanding(r, cap)));
			if (best == null || score(row, trace) > score(best, trace)) {
				best = row;
			}
		}
		return best;
	}

	// What an operator who sweeps the cap would look for: throughput, less what
	// preemptions and stalls cost readers.
	private static double score(Row row, MadeTrace trace) {
		Measured measured = row.measured();
		return measured.tokensPerSecond(trace.horizonMillis()) - measured.preemptions()
				- 100 * measured.stallSeconds(99) - 10 * measured.firstTokenSeconds(95);
	}

	private static Measured run(MadeTrace trace, Function<Replay, Policy> policy) {
		return new Replay(trace).run(policy);
	}

	private static HostSettings settings(MadeTrace trace, double deviations, double highWater, long ageing) {
		HostSettings defaults = HostSettings.defaults(trace.capacityTokens());
		return new HostSettings(128, 10_000, trace.capacityTokens(), highWater, deviations, ageing,
				defaults.orphanMillis(), defaults.holdMillis(), defaults.reattachMillis(), defaults.askMillis(),
				defaults.pauseMillis(), defaults.lengthHalfLife());
	}

	private static void print(Row row, MadeTrace trace, PrintStream out) {
		Measured measured = row.measured();
		out.printf("%-18s %9d %9.2f %9.2f %9.1f %9.1f %9.2f %9.0f %7.2f %8d%n", row.name(), measured.preemptions(),
				measured.stallSeconds(50), measured.stallSeconds(99), measured.gapMillis(99), measured.gapMillis(99.9),
				measured.firstTokenSeconds(95), measured.tokensPerSecond(trace.horizonMillis()), measured.worstShare(),
				measured.refusals());
	}

	private static String json(String name, Row row, MadeTrace trace) {
		Measured measured = row.measured();
		ObjectNode json = JsonText.object();
		json.put("trace", name).put("policy", row.name()).put("preemptions", measured.preemptions());
		json.put("stallP50Seconds", measured.stallSeconds(50)).put("stallP99Seconds", measured.stallSeconds(99));
		json.put("gapP99Millis", measured.gapMillis(99)).put("gapP999Millis", measured.gapMillis(99.9));
		json.put("firstTokenP95Seconds", measured.firstTokenSeconds(95));
		json.put("tokensPerSecond", measured.tokensPerSecond(trace.horizonMillis()));
		return json.put("worstShare", measured.worstShare()).put("refused", measured.refusals()).toString();
	}

	private record Row(String name, Measured measured) {

	}

}
