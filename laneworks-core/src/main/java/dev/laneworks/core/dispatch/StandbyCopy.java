package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Standby copy of a running generation, refreshed periodically and used when its engine
 * drains or fails.
 */
final class StandbyCopy {

	private final ListedTarget source;

	private final ListedTarget destination;

	private final long reservedTokens;

	private String handle = "";

	private long copiedTokens;

	StandbyCopy(ListedTarget source, ListedTarget destination, long reservedTokens) {
		this.source = source;
		this.destination = destination;
		this.reservedTokens = reservedTokens;
	}

	ListedTarget source() {
		return this.source;
	}

	ListedTarget destination() {
		return this.destination;
	}

	long reservedTokens() {
		return this.reservedTokens;
	}

	// The name of the copy at the source; empty until the first copy completed.
	String handle() {
		return this.handle;
	}

	long copiedTokens() {
		return this.copiedTokens;
	}

	void copied(String name, long tokens) {
		this.handle = name;
		this.copiedTokens = tokens;
	}

}
