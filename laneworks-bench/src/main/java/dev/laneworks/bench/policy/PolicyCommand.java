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
 * Command that compares the core's scheduling with two baselines and a clairvoyant policy
 * on generated traces, in virtual time.
 *
 * @since 0.1
 */
public final class PolicyCommand implements ProgramCommand {

	private static final int[] RUNNING_LIMITS = { 8, 12, 16, 20, 24, 32, 40, 48, 64 };

	private static final long SEED = 11;

	private static final long HELD_OUT_SEED = 4711;

	private static final int HALF_LIFE = 256;

	private static final double OVERLOAD_FACTOR = 2;

	@Override
	public String name() {
		return "policy";
	}

	@Override
	public String summary() {
		return "[--trace NAME] [--deviations D] [--ageing MS] [--high-water W] [--json]  compare the policy with baselines on generated traces, in virtual time";
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
			.defaultsTo(HostSettings.defaults(0).highWaterMark());
		OptionSpec<String> traceNames = parser.accepts("trace").withRequiredArg();
		OptionSpec<Void> json = parser.accepts("json");
		try {
			OptionSet options = parser.parse(arguments.toArray(new String[0]));
			List<GeneratedTrace> traces = List.of(GeneratedTrace.interactiveWithBatch(SEED, 1),
					GeneratedTrace.interactiveWithLongOutputs(SEED, 1), GeneratedTrace.manyAccounts(SEED, 1),
					GeneratedTrace.interactiveWithBatch(SEED, OVERLOAD_FACTOR),
					GeneratedTrace.interactiveWithLongOutputs(SEED, OVERLOAD_FACTOR),
					GeneratedTrace.lengthShift(HELD_OUT_SEED, 1),
					GeneratedTrace.interactiveWithLongOutputs(HELD_OUT_SEED, 1));
			List<String> names = List.of("lantern", "erongo", "two-years", "lantern x2", "erongo x2",
					"shift (held out)", "erongo (held out)");
			for (int i = 0; i < traces.size(); i++) {
				if (!options.has(traceNames) || options.valuesOf(traceNames).contains(names.get(i))) {
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

	private static void compare(String name, GeneratedTrace trace, HostSettings settings, boolean json,
			PrintStream out) {
		List<Row> rows = new ArrayList<>();
		rows.add(new Row("(a) round robin", run(trace, Baselines::roundRobin)));
		rows.add(bestLeastOutstanding(trace));
		rows.add(new Row("(c) laneworks", run(trace, (r) -> new CorePolicy(r, settings,
				new LearnedLengthModel(HALF_LIFE, LearnedLengthModel.DEFAULT_MAX_CLASSES), false))));
		HostSettings clairvoyantSettings = settings(trace, 0, settings.highWaterMark(), settings.ageingMillis());
		rows.add(new Row("(d) clairvoyant", run(trace,
				(r) -> new CorePolicy(r, clairvoyantSettings, new CorePolicy.ClairvoyantLengthModel(), true))));
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

	private static Row bestLeastOutstanding(GeneratedTrace trace) {
		Row best = null;
		for (int maxRunning : RUNNING_LIMITS) {
			Row row = new Row("(b) cap " + maxRunning, run(trace, (r) -> Baselines.leastOutstanding(r, maxRunning)));
			if (best == null || score(row, trace) > score(best, trace)) {
				best = row;
			}
		}
		return best;
	}

	// Score a limit of running requests by throughput, minus penalties for preemptions,
	// stalls and slow first tokens.
	private static double score(Row row, GeneratedTrace trace) {
		PolicyMetrics metrics = row.metrics();
		return metrics.tokensPerSecond(trace.horizonMillis()) - metrics.preemptions() - 100 * metrics.stallSeconds(99)
				- 10 * metrics.firstTokenSeconds(95);
	}

	private static PolicyMetrics run(GeneratedTrace trace, Function<Replay, Policy> policy) {
		return new Replay(trace).run(policy);
	}

	private static HostSettings settings(GeneratedTrace trace, double deviations, double highWater, long ageing) {
		HostSettings defaults = HostSettings.defaults(trace.capacityTokens());
		return new HostSettings(128, 10_000, trace.capacityTokens(), highWater, deviations, ageing,
				defaults.orphanTimeoutMillis(), defaults.outputRetentionMillis(), defaults.reattachMillis(),
				defaults.keyCheckTimeoutMillis(), defaults.pauseMillis(), defaults.lengthHalfLife());
	}

	private static void print(Row row, GeneratedTrace trace, PrintStream out) {
		PolicyMetrics metrics = row.metrics();
		out.printf("%-18s %9d %9.2f %9.2f %9.1f %9.1f %9.2f %9.0f %7.2f %8d%n", row.name(), metrics.preemptions(),
				metrics.stallSeconds(50), metrics.stallSeconds(99), metrics.tokenIntervalMillis(99),
				metrics.tokenIntervalMillis(99.9), metrics.firstTokenSeconds(95),
				metrics.tokensPerSecond(trace.horizonMillis()), metrics.lowestFairShare(), metrics.refusals());
	}

	private static String json(String name, Row row, GeneratedTrace trace) {
		PolicyMetrics metrics = row.metrics();
		ObjectNode json = JsonText.object();
		json.put("trace", name).put("policy", row.name()).put("preemptions", metrics.preemptions());
		json.put("stallP50Seconds", metrics.stallSeconds(50)).put("stallP99Seconds", metrics.stallSeconds(99));
		json.put("gapP99Millis", metrics.tokenIntervalMillis(99))
			.put("gapP999Millis", metrics.tokenIntervalMillis(99.9));
		json.put("firstTokenP95Seconds", metrics.firstTokenSeconds(95));
		json.put("tokensPerSecond", metrics.tokensPerSecond(trace.horizonMillis()));
		return json.put("worstShare", metrics.lowestFairShare()).put("refused", metrics.refusals()).toString();
	}

	private record Row(String name, PolicyMetrics metrics) {

	}

}
