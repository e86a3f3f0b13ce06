package dev.laneworks.bench;

import java.util.Arrays;
import java.util.List;

import dev.laneworks.bench.fuzz.FuzzCommand;
import dev.laneworks.bench.path.PathCommand;
import dev.laneworks.bench.policy.PolicyCommand;
import dev.laneworks.bench.slopes.SlopesCommand;
import dev.laneworks.runtime.log.JsonLineWriter;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.ProgramCommand;

/**
 * Command line of the measurements and the fuzz tool.
 *
 * @since 0.1
 */
public final class BenchMain {

	private static final List<ProgramCommand> COMMANDS = List.of(new FuzzCommand(), new PathCommand(),
			new SlopesCommand(), new PolicyCommand());

	private BenchMain() {
	}

	/**
	 * Run a command and exit with its code.
	 * @param arguments the name of the command and its arguments
	 */
	public static void main(String[] arguments) {
		System.setProperty("org.jboss.logging.provider", "slf4j");
		JsonLineWriter.setInstanceName("bench");
		System.exit(run(arguments).code());
	}

	private static ExitCode run(String[] arguments) {
		for (ProgramCommand command : COMMANDS) {
			if (arguments.length > 0 && command.name().equals(arguments[0])) {
				return command.run(Arrays.asList(arguments).subList(1, arguments.length), System.out, System.err);
			}
		}
		System.err.println("bin/bench: expected one of these commands:");
		COMMANDS.forEach((c) -> System.err.println("  " + c.name() + ' ' + c.summary()));
		return ExitCode.USAGE;
	}

}
