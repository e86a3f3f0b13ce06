package dev.laneworks.entry.explain;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.ProgramCommand;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Command that prints the logged events of one request.
 *
 * @since 0.2
 */
public final class ExplainCommand implements ProgramCommand {

	@Override
	public String name() {
		return "explain";
	}

	@Override
	public String summary() {
		return "--log FILE [--log FILE ...] ID  print the events of a request from the logs of one or more processes";
	}

	@Override
	public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
		OptionParser parser = new OptionParser();
		OptionSpec<String> logs = parser.accepts("log", "a log file; repeatable, one per process").withRequiredArg();
		OptionSpec<String> ids = parser.nonOptions();
		OptionSet options;
		try {
			options = parser.parse(arguments.toArray(String[]::new));
		}
		catch (OptionException ex) {
			err.println("laneworks-entry explain: " + ex.getMessage());
			return ExitCode.USAGE;
		}
		if (options.valuesOf(ids).size() != 1 || !options.has(logs)) {
			err.println("laneworks-entry explain: at least one --log FILE and exactly one ID are required");
			return ExitCode.USAGE;
		}
		return explain(options.valuesOf(logs), options.valuesOf(ids).get(0), out, err);
	}

	private static ExitCode explain(List<String> files, String id, PrintStream out, PrintStream err) {
		List<LoggedEvent> events = new ArrayList<>();
		for (String file : files) {
			try (var lines = Files.lines(Path.of(file), StandardCharsets.UTF_8)) {
				lines.map(LoggedEvent::parse).flatMap(Optional::stream).forEach(events::add);
			}
			catch (IOException | UncheckedIOException ex) {
				err.println(file + ": cannot be read: " + ex.getMessage());
				return ExitCode.USAGE;
			}
		}
		RequestTimeline timeline = new RequestTimeline(events, id);
		if (timeline.isEmpty()) {
			err.println("the logs contain no event of request " + id);
			return ExitCode.FAILED;
		}
		timeline.lines().forEach(out::println);
		return ExitCode.OK;
	}

}
