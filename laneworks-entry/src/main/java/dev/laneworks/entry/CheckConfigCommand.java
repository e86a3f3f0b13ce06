package dev.laneworks.entry;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import dev.laneworks.core.configuration.ConfigurationParser;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.document.InvalidDocumentException;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.ProgramCommand;
import io.vavr.control.Either;

/**
 * Validates a configuration document with the rules that every entry and sidecar applies.
 */
final class CheckConfigCommand implements ProgramCommand {

	@Override
	public String name() {
		return "check-config";
	}

	@Override
	public String summary() {
		return "FILE  validate a configuration document as every entry and sidecar does";
	}

	@Override
	public ExitCode run(List<String> arguments, PrintStream out, PrintStream err) {
		if (arguments.size() != 1) {
			err.println("laneworks-entry check-config: exactly one FILE is required");
			return ExitCode.USAGE;
		}
		String file = arguments.get(0);
		String text;
		try {
			text = Files.readString(Path.of(file), StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			err.println(file + ": cannot be read: " + ex.getMessage());
			return ExitCode.USAGE;
		}
		Either<InvalidDocumentException, FleetConfiguration> parsed = ConfigurationParser.parse(file, text);
		if (parsed.isLeft()) {
			err.println(parsed.getLeft().getMessage());
			return ExitCode.USAGE;
		}
		FleetConfiguration configuration = parsed.get();
		out.printf("%s: version %d is valid: %d targets, %d accounts, %d intents%n", file, configuration.version(),
				configuration.targets().size(), configuration.accounts().size(), configuration.intents().size());
		return ExitCode.OK;
	}

}
