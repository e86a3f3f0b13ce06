package dev.laneworks.runtime.program;

import java.util.function.Supplier;

import io.vavr.control.Either;

/**
 * Runs a program until it is to end.
 *
 * @param <T> the type of its settings
 * @since 0.2
 */
@FunctionalInterface
public interface ProgramRunner<T> {

	/**
	 * Run the program.
	 * @param settings its settings
	 * @param again reads the settings file again: the settings, or what is wrong with
	 * them
	 * @return how the program ends
	 */
	ExitCode run(T settings, Supplier<Either<String, T>> again);

}
