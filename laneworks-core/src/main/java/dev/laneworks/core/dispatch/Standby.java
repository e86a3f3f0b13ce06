package dev.laneworks.core.dispatch;

import dev.laneworks.core.directory.ListedTarget;

/**
 * A copy of a running generation that is kept up to date now and then, for when its
 * engine leaves or dies.
 */
final class Standby {

	private final ListedTarget source;

	private final ListedTarget destination;

	private final long promisedTokens;

	private String handle = "";

	private long copiedTokens;

	Standby(ListedTarget source, ListedTarget destination, long promisedTokens) {
		this.source = source;
		this.destination = destination;
		this.promisedTokens = promisedTokens;
	}

	ListedTarget source() {
		return this.source;
	}

	ListedTarget destination() {
		return this.destination;
	}

	long promisedTokens() {
		return this.promisedTokens;
	}

	// The copy's name at the source; empty until it was made once.
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
