package dev.laneworks.runtime.program;

import java.io.PrintStream;
import java.util.List;

/**
 * A subcommand of a program, such as {@code check-config}.
 *
 * @since 0.1
 */
public interface ProgramCommand {

	/**
	 * Return the word that selects the command.
	 * @return the name
	 */
	String name();

	/**
	 * Return what the command does.
	 * @return one line with its arguments
	 */
	String summary();

	/**
	 * Run the command.
	 * @param arguments the arguments after the command's name
	 * @param out where results go
	 * @param err where faults go
	 * @return how the program ends
	 */
	ExitCode run(List<String> arguments, PrintStream out, PrintStream err);

}
