package dev.laneworks.sidecar;

import java.util.List;

import dev.laneworks.runtime.log.JsonLineWriter;
import dev.laneworks.runtime.program.ExitCode;
import dev.laneworks.runtime.program.Program;
import dev.laneworks.runtime.program.SignalHandlers;

/**
 * Main class of {@code laneworks-sidecar}.
 *
 * @since 0.1
 */
public final class SidecarMain {

	private SidecarMain() {
	}

	/**
	 * Run the program.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		Program<SidecarSettings> program = new Program<>("laneworks-sidecar",
				"runs next to one target and executes requests on it", SidecarSettings::read, SidecarMain::run,
				List.of());
		System.exit(program.run(arguments, System.out, System.err).code());
	}

	private static ExitCode run(SidecarSettings settings) {
		JsonLineWriter.setInstanceName(settings.common().instance());
		Sidecar sidecar = new Sidecar(settings);
		new SignalHandlers().handle(() -> sidecar.stop("planned stop"));
		return sidecar.run();
	}

}
