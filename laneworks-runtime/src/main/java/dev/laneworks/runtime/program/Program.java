package dev.laneworks.runtime.program;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import dev.laneworks.core.document.DocumentObject;
import dev.laneworks.core.document.DocumentReader;
import dev.laneworks.core.document.InvalidDocumentException;
import io.vavr.control.Either;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command line that all programs share: options, a settings file and subcommands.
 * <p>
 * The settings file is validated completely before anything starts.
 *
 * @param <T> the type of the settings
 * @since 0.1
 */
public final class Program<T> {

	private final String name;

	private final String summary;

	private final Function<DocumentObject, T> settingsReader;

	private final ProgramRunner<T> runner;

	private final List<ProgramCommand> commands;

	/**
	 * Create a program that reads its settings only at its start.
	 * @param name the program's name
	 * @param summary a one-line description for the help page
	 * @param settingsReader reads the settings from the document
	 * @param runner runs the program until it ends
	 * @param commands the subcommands
	 */
	public Program(String name, String summary, Function<DocumentObject, T> settingsReader,
			Function<T, ExitCode> runner, List<ProgramCommand> commands) {
		this(name, summary, settingsReader, (s, reload) -> runner.apply(s), commands);
	}

	/**
	 * Create a program that can reload its settings while it runs.
	 * @param name the program's name
	 * @param summary a one-line description for the help page
	 * @param settingsReader reads the settings from the document
	 * @param runner runs the program until it ends
	 * @param commands the subcommands
	 */
	public Program(String name, String summary, Function<DocumentObject, T> settingsReader, ProgramRunner<T> runner,
			List<ProgramCommand> commands) {
		this.name = name;
		this.summary = summary;
		this.settingsReader = settingsReader;
		this.runner = runner;
		this.commands = List.copyOf(commands);
	}

	/**
	 * Parse the command line and run the program or the selected subcommand.
	 * @param arguments the command line
	 * @param out the stream for results
	 * @param err the stream for errors
	 * @return the exit code of the program
	 */
	public ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
		// Routes the logs of Undertow and XNIO to tinylog.
		System.setProperty("org.jboss.logging.provider", "slf4j");
		if (arguments.length > 0) {
			Optional<ProgramCommand> command = this.commands.stream()
				.filter((c) -> c.name().equals(arguments[0]))
				.findFirst();
			if (command.isPresent()) {
				List<String> rest = Arrays.asList(arguments).subList(1, arguments.length);
				return command.get().run(rest, out, err);
			}
		}
		OptionParser parser = new OptionParser();
		OptionSpec<Void> help = parser.accepts("help", "print this help");
		OptionSpec<Void> version = parser.accepts("version", "print the version and the digest of the sources");
		OptionSpec<Void> check = parser.accepts("check-config", "check the settings and exit");
		OptionSpec<String> config = parser.accepts("config", "the settings, JSON with comments")
			.withRequiredArg()
			.describedAs("FILE");
		OptionSpec<String> rest = parser.nonOptions();
		OptionSet options;
		try {
			options = parser.parse(arguments);
		}
		catch (OptionException ex) {
			return usage(err, ex.getMessage());
		}
		if (options.has(help)) {
			printHelp(parser, out);
			return ExitCode.OK;
		}
		if (options.has(version)) {
			out.println(this.name + ' ' + BuildInfo.current().describe());
			return ExitCode.OK;
		}
		if (!options.valuesOf(rest).isEmpty()) {
			return usage(err, "'" + options.valuesOf(rest).get(0) + "' is not a command");
		}
		if (!options.has(config)) {
			return usage(err, "--config FILE is missing");
		}
		return start(options.valueOf(config), options.has(check), out, err);
	}

	private ExitCode start(String file, boolean checkOnly, PrintStream out, PrintStream err) {
		Either<String, T> settings = read(file);
		if (settings.isLeft()) {
			err.println(settings.getLeft());
			return ExitCode.USAGE;
		}
		if (checkOnly) {
			out.println(file + ": the settings are valid");
			return ExitCode.OK;
		}
		return this.runner.run(settings.get(), () -> read(file));
	}

	private Either<String, T> read(String file) {
		try {
			String text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
			return DocumentReader.read(file, text, this.settingsReader).mapLeft(InvalidDocumentException::getMessage);
		}
		catch (IOException ex) {
			return Either.left(file + ": cannot be read: " + ex.getMessage());
		}
	}

	private ExitCode usage(PrintStream err, String problem) {
		err.println(this.name + ": " + problem + "; see " + this.name + " --help");
		return ExitCode.USAGE;
	}

	private void printHelp(OptionParser parser, PrintStream out) {
		out.println(this.name + " - " + this.summary);
		out.println();
		out.println("Usage: " + this.name + " --config FILE [--check-config]");
		for (ProgramCommand command : this.commands) {
			out.println("       " + this.name + ' ' + command.name() + "  " + command.summary());
		}
		out.println();
		try {
			parser.printHelpOn(out);
		}
		catch (IOException ex) {
			throw new IllegalStateException("cannot print the help page", ex);
		}
		out.println();
		out.println("Exit codes: 0 done, 1 failed, 2 invalid command line or setting, 70 a component failed too often");
	}

}
