package dev.laneworks.entry;

import java.util.List;

import dev.laneworks.entry.explain.ExplainCommand;
import dev.laneworks.runtime.log.JsonLineWriter;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.Program;
import dev.laneworks.runtime.program.SignalHandlers;

/**
 * Main class of {@code laneworks-entry}.
 *
 * @since 0.1
 */
public final class EntryMain {

	private EntryMain() {
	}

	/**
	 * Run the program.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Program<EntrySettings> program = new Program<>("laneworks-entry",
				"accepts callers' requests and streams the responses", EntrySettings::read, EntryMain::run,
				List.of(new CheckConfigCommand(), new ExplainCommand()));
		System.exit(program.run(arguments, System.out, System.err).code());
	}

	private static ExitCode run(EntrySettings settings) {
		JsonLineWriter.setInstanceName(settings.common().instance());
		Entry entry = new Entry(settings);
		new SignalHandlers().handle(entry::stop);
		return entry.run();
	}

}
