package dev.laneworks.runtime.program;

import java.util.function.Supplier;

import io.vavr.control.Either;

/**
 * Main function of a program, called with valid settings.
 *
 * @param <T> the type of the settings
 * @since 0.2
 */
@FunctionalInterface
public interface ProgramRunner<T> {

	/**
	 * Run the program until it ends.
	 * @param settings the settings at the start
	 * @param reload reloads the settings file; supplies the new settings, or a
	 * description of the faults in the file
	 * @return the exit code of the program
	 */
	ExitCode run(T settings, Supplier<Either<String, T>> reload);

}
