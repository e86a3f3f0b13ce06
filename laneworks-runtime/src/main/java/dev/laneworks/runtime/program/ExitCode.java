package dev.laneworks.runtime.program;

/**
 * Exit codes of the programs.
 *
 * @since 0.1
 */
public enum ExitCode {

	/** The program completed successfully. */
	OK(0),

	/** The program failed while running. */
	FAILED(1),

	/** The command line or a setting is invalid; nothing was started. */
	USAGE(2),

	/** A component failed too often; the platform should replace the process. */
	GAVE_UP(70);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Return the numeric exit status for the operating system.
	 * @return the status, from 0 to 255
	 */
	public int code() {
		return this.code;
	}

}
