package dev.laneworks.bench.slopes;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntFunction;

import dev.laneworks.core.admission.LearnedLengthModel;
import dev.laneworks.core.admission.LengthClass;
import dev.laneworks.core.admission.MemoryForecast;
import dev.laneworks.core.admission.MemoryUser;
import dev.laneworks.core.configuration.ConfigurationParser;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.configuration.SpillRule;
import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.ExpiringNames;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.routing.DefaultTargetSelector;
import dev.laneworks.core.routing.RouteRequest;
import dev.laneworks.core.routing.TargetStates;
import dev.laneworks.core.routing.TargetSubset;
import dev.laneworks.core.stream.ChunkLog;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.ProgramCommand;
import dev.laneworks.wire.FrameCodec;

/**
 * Command that measures costs at several sizes and prints a table of regression lines for
 * docs/CAPACITY.md.
 *
 * @since 0.1
 */
public final class SlopesCommand implements ProgramCommand {

	private static final int[] TARGET_COUNTS = { 75, 150, 300, 600, 1200 };

	private static final int[] ACCOUNT_COUNTS = { 500, 1000, 2000, 4100, 8200 };

	private static final int[] STREAM_COUNTS = { 16, 32, 64, 128, 256, 512 };

	private static final int[] LINK_COUNTS = { 8, 16, 32, 64, 128 };

	private static final int[] NAME_COUNTS = { 1_000, 4_000, 16_000, 64_000, 256_000 };

	private static final int REPETITIONS = 7;

	private static final int WARM_UP_REPETITIONS = 3;

	private static final int OUTPUT_TOKENS = 300;

	private static final Intent INTENT = new Intent("*", "model-0", "", "1", 1, Optional.empty(), SpillRule.ANY, true);

	@Override
	public String name() {
		return "slopes";
	}

	@Override
	public String summary() {
		return " measure costs by the number of targets, accounts, streams, links and keys";
	}

	@Override
	public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
		out.println("| cost | unit | sizes | slope | intercept | fit | spread of the largest |");
		out.println("|---|---|---|---|---|---|---|");
		measureTime(out, "parse a configuration, by accounts (600 targets)", "us", ACCOUNT_COUNTS,
				this::parseByAccounts, 1);
		measureTime(out, "parse a configuration, by targets (4,100 accounts)", "us", TARGET_COUNTS,
				this::parseByTargets, 1);
		measureHeap(out, "configuration held, by accounts (600 targets)", ACCOUNT_COUNTS,
				(n) -> parse(GeneratedFleet.document(1, 600, n)));
		measureHeap(out, "configuration held, by targets (no accounts)", TARGET_COUNTS,
				(n) -> parse(GeneratedFleet.document(1, n, 0)));
		measureTime(out, "compress a configuration, by accounts", "us", ACCOUNT_COUNTS, this::compress, 1);
		measureSize(out, "compressed configuration, by accounts (600 targets)", ACCOUNT_COUNTS,
				(n) -> FrameCodec.encode(new ConfigurationMessage.Document(1, GeneratedFleet.document(1, 600, n)))
					.getSerializedSize());
		measureTime(out, "apply a configuration to routing, by targets", "us", TARGET_COUNTS, this::applyToRouting, 1);
		measureTime(out, "choose a target, by targets published", "us", TARGET_COUNTS, this::chooseTarget, 20_000);
		measureTime(out, "home of a key, by targets published", "us", TARGET_COUNTS, this::homeOfKey, 500);
		measureTime(out, "admission decision, by streams", "us", STREAM_COUNTS, this::admit, 20_000);
		measureTime(out, "refresh of the memory forecast, by streams", "us", STREAM_COUNTS, this::refresh, 200);
		measureHeap(out, "output of 300 tokens held, by streams", STREAM_COUNTS, SlopesCommand::createLogs);
		measureHeap(out, "barred or spent names held, by names", NAME_COUNTS, SlopesCommand::createNames);
		measureLinks(out);
		printFrameSizes(out);
		return ExitCode.OK;
	}

	private Runnable parseByAccounts(int accounts) {
		String text = GeneratedFleet.document(1, 600, accounts);
		return () -> parse(text);
	}

	private Runnable parseByTargets(int targets) {
		String text = GeneratedFleet.document(1, targets, 4100);
		return () -> parse(text);
	}

	private Runnable compress(int accounts) {
		ConfigurationMessage.Document text = new ConfigurationMessage.Document(1,
				GeneratedFleet.document(1, 600, accounts));
		return () -> FrameCodec.encode(text);
	}

	private Runnable applyToRouting(int targets) {
		FleetConfiguration configuration = parse(GeneratedFleet.document(1, targets, 10));
		DefaultTargetSelector selector = createSelector(new TargetStates());
		return () -> selector.use(configuration);
	}

	private Runnable chooseTarget(int targets) {
		TargetStates states = new TargetStates();
		DefaultTargetSelector selector = createSelector(states);
		selector.use(parse(GeneratedFleet.document(1, targets, 10)));
		selector.usedTargets().forEach((t) -> states.state(t.name()).recordLinkUp(true));
		RouteRequest request = new RouteRequest("model-0", INTENT, 77, Set.of());
		return () -> selector.select(request, 1);
	}

	private Runnable homeOfKey(int targets) {
		ViewHistory views = new ViewHistory();
		views.record(parse(GeneratedFleet.document(1, targets, 10)).targets(), 0);
		return () -> views.home("model-0", "once-0123456789abcdef");
	}

	private Runnable admit(int streams) {
		MemoryForecast forecast = new MemoryForecast(createLengthModel(), 2);
		forecast.refresh(createRunning(streams));
		MemoryUser candidate = new RunningGeneration(200, 0);
		return () -> forecast.fits(candidate, 150_000);
	}

	private Runnable refresh(int streams) {
		MemoryForecast forecast = new MemoryForecast(createLengthModel(), 2);
		List<RunningGeneration> running = createRunning(streams);
		return () -> forecast.refresh(running);
	}

	private static void measureTime(PrintStream out, String label, String unit, int[] sizes, IntFunction<Runnable> task,
			int calls) {
		double[] medians = new double[sizes.length];
		double spread = 0;
		for (int i = 0; i < sizes.length; i++) {
			double[] micros = sampleMicros(task.apply(sizes[i]), calls);
			medians[i] = micros[micros.length / 2];
			spread = (micros[micros.length - 1] - micros[0]) / medians[i];
		}
		print(out, label, unit, sizes, medians, spread);
	}

	private static double[] sampleMicros(Runnable task, int calls) {
		double[] micros = new double[REPETITIONS];
		for (int repetition = -WARM_UP_REPETITIONS; repetition < REPETITIONS; repetition++) {
			long start = System.nanoTime();
			for (int i = 0; i < calls; i++) {
				task.run();
			}
			if (repetition >= 0) {
				micros[repetition] = (System.nanoTime() - start) / 1e3 / calls;
			}
		}
		Arrays.sort(micros);
		return micros;
	}

	private static void measureHeap(PrintStream out, String label, int[] sizes, IntFunction<Object> factory) {
		double[] bytes = new double[sizes.length];
		for (int i = 0; i < sizes.length; i++) {
			long before = usedBytes();
			Object object = factory.apply(sizes[i]);
			bytes[i] = usedBytes() - before;
			if (object.hashCode() == 0) {
				out.print("");
			}
		}
		print(out, label, "bytes", sizes, bytes, 0);
	}

	private static void measureSize(PrintStream out, String label, int[] sizes, IntFunction<Integer> size) {
		double[] bytes = Arrays.stream(sizes).mapToDouble(size::apply).toArray();
		print(out, label, "bytes", sizes, bytes, 0);
	}

	private static void print(PrintStream out, String label, String unit, int[] sizes, double[] values, double spread) {
		LinearRegression regression = LinearRegression.fitTo(Arrays.stream(sizes).asDoubleStream().toArray(), values);
		out.printf("| %s | %s | %d to %d | %.4g | %.4g | %.3f | %s |%n", label, unit, sizes[0], sizes[sizes.length - 1],
				regression.slope(), regression.intercept(), regression.rSquared(),
				(spread > 0) ? "%.0f%%".formatted(spread * 100) : "-");
	}

	// Measure processor time and heap of probed links over the loopback interface.
	private static void measureLinks(PrintStream out) {
		double[] cpu = new double[LINK_COUNTS.length];
		double[] memory = new double[LINK_COUNTS.length];
		for (int i = 0; i < LINK_COUNTS.length; i++) {
			long before = usedBytes();
			try (ProbedLinks links = new ProbedLinks(LINK_COUNTS[i])) {
				memory[i] = usedBytes() - before;
				cpu[i] = links.cpuMicrosPerSecond();
			}
		}
		print(out, "processor time of both ends with a probe every 100 ms on each link, by links", "us/s", LINK_COUNTS,
				cpu, 0);
		print(out, "heap of both ends, by links", "bytes", LINK_COUNTS, memory, 0);
	}

	private static void printFrameSizes(PrintStream out) {
		int lengthPrefixBytes = 4;
		out.printf("%nframes with their length: probe %d, load %d, notice %d bytes%n",
				lengthPrefixBytes + FrameCodec.encode(new EntryMessage.Probe()).getSerializedSize(),
				lengthPrefixBytes
						+ FrameCodec.encode(new SidecarMessage.Load(new LoadReport(120, 8, 180_000, 200_000, false)))
							.getSerializedSize(),
				lengthPrefixBytes
						+ FrameCodec.encode(new ConfigurationMessage.Notice(123_456, 15_000)).getSerializedSize());
	}

	private static DefaultTargetSelector createSelector(TargetStates states) {
		return new DefaultTargetSelector(states, new TargetSubset("entry-1", "dc0", 6, 1), "dc0",
				new SplittableRandom(1));
	}

	private static LearnedLengthModel createLengthModel() {
		LearnedLengthModel lengths = new LearnedLengthModel(256, 4096);
		SplittableRandom random = new SplittableRandom(1);
		for (int i = 0; i < 1_000; i++) {
			lengths.observe(RunningGeneration.TYPE, 1 + random.nextInt(800));
		}
		return lengths;
	}

	private static List<RunningGeneration> createRunning(int streams) {
		SplittableRandom random = new SplittableRandom(2);
		List<RunningGeneration> running = new ArrayList<>();
		for (int i = 0; i < streams; i++) {
			running.add(new RunningGeneration(200, random.nextInt(600)));
		}
		return running;
	}

	private static Object createLogs(int streams) {
		List<ChunkLog> logs = new ArrayList<>();
		byte[] token = new byte[5];
		for (int i = 0; i < streams; i++) {
			ChunkLog log = new ChunkLog();
			for (int t = 0; t < OUTPUT_TOKENS; t++) {
				log.append(token);
			}
			logs.add(log);
		}
		return logs;
	}

	private static Object createNames(int count) {
		ExpiringNames names = new ExpiringNames();
		for (int i = 0; i < count; i++) {
			names.add("0f8fad5b-d9cb-469f-a165-%012d-1".formatted(i), i);
		}
		return names;
	}

	private static FleetConfiguration parse(String text) {
		return ConfigurationParser.parse("made", text).get();
	}

	private static long usedBytes() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	/**
	 * Running generation with the given token counts.
	 */
	private record RunningGeneration(int promptTokens, int outputTokens) implements MemoryUser {

		private static final LengthClass TYPE = new LengthClass("a", "m", OperationKind.COMPLETION);

		@Override
		public LengthClass lengthClass() {
			return TYPE;
		}

		@Override
		public int maxTokens() {
			return 65_536;
		}

	}

}
