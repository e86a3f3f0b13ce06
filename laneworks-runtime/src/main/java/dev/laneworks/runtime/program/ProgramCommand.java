package dev.laneworks.runtime.program;

import java.io.PrintStream;
import java.util.List;

/**
 * Subcommand of a program, selected by the first argument of the command line.
 *
 * @since 0.1
 */
public interface ProgramCommand {

	/**
	 * Return the name of the command.
	 * @return the argument that selects the command
	 */
	String name();

	/**
	 * Return the description of the command for the help page.
	 * @return one line, which includes the arguments
	 */
	String summary();

	/**
	 * Run the command.
	 * @param arguments the arguments after the command's name
	 * @param out the stream for results
	 * @param err the stream for errors
	 * @return the exit code of the program
	 */
	ExitCode run(List<String> arguments, PrintStream out, PrintStream err);

}
