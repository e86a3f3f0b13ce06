package dev.laneworks.runtime.program;

/**
 * How a program ends.
 *
 * @since 0.1
 */
public enum ExitCode {

	/** It did what was asked. */
	OK(0),

	/** It failed while running. */
	FAILED(1),

	/** The command line or a setting is wrong; nothing was started. */
	USAGE(2),

	/** A part failed too often; the platform should replace the process. */
	GAVE_UP(70);

	private final int code;

	ExitCode(int code) {
		this.code = code;
	}

	/**
	 * Return the number that the operating system sees.
	 * @return the exit code
	 */
	public int code() {
		return this.code;
	}

}
