package dev.laneworks.bench.fuzz;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.ProgramCommand;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command that plays generated or recorded traces and prints the first generated trace
 * that violates an invariant, shortened.
 *
 * @since 0.1
 */
public final class FuzzCommand implements ProgramCommand {

	private static final int PROGRESS_INTERVAL = 500;

	@Override
	public String name() {
		return "fuzz";
	}

	@Override
	public String summary() {
		return "[--seeds N] [--from SEED] [TRACE…]  play generated or recorded traces";
	}

	@Override
	public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
		OptionParser parser = new OptionParser();
		OptionSpec<Integer> seeds = parser.accepts("seeds").withRequiredArg().ofType(Integer.class).defaultsTo(1_000);
		OptionSpec<Long> from = parser.accepts("from").withRequiredArg().ofType(Long.class).defaultsTo(1L);
		OptionSpec<String> files = parser.nonOptions();
		try {
			OptionSet options = parser.parse(arguments.toArray(new String[0]));
			if (!options.valuesOf(files).isEmpty()) {
				return replay(options.valuesOf(files), out, err);
			}
			return fuzz(options.valueOf(from), options.valueOf(seeds), out, err);
		}
		catch (OptionException ex) {
			err.println("fuzz: " + ex.getMessage());
			return ExitCode.USAGE;
		}
	}

	private static ExitCode fuzz(long from, int seeds, PrintStream out, PrintStream err) {
		for (int i = 0; i < seeds; i++) {
			FuzzTrace trace = FuzzTrace.generate(from + i);
			try {
				trace.play();
			}
			catch (InvariantViolationException ex) {
				err.println("seed " + trace.seed() + ": " + ex.getMessage());
				err.println("the shortest trace found that violates an invariant:");
				trace.shrink().write().forEach(err::println);
				return ExitCode.FAILED;
			}
			if ((i + 1) % PROGRESS_INTERVAL == 0) {
				out.println((i + 1) + " of " + seeds + " traces played");
			}
		}
		out.println(seeds + " traces played from seed " + from + ", no invariant violated");
		return ExitCode.OK;
	}

	private static ExitCode replay(List<String> files, PrintStream out, PrintStream err) {
		ExitCode code = ExitCode.OK;
		for (String file : files) {
			try {
				FuzzTrace trace = FuzzTrace.read(Files.readAllLines(Path.of(file)));
				FakeCluster cluster = trace.play();
				out.println(file + ": holds");
				cluster.outcomes().forEach((o) -> out.println("  " + o));
			}
			catch (IOException | IllegalArgumentException ex) {
				err.println(file + ": " + ex.getMessage());
				return ExitCode.USAGE;
			}
			catch (InvariantViolationException ex) {
				err.println(file + ": " + ex.getMessage());
				code = ExitCode.FAILED;
			}
		}
		return code;
	}

}
