package dev.laneworks.core.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Progress of the move of one executing generation to another engine.
 */
final class Copying {

	private final ListedTarget source;

	private final Set<String> tried = new HashSet<>();

	private CopyPhase phase = CopyPhase.WAITING;

	private ListedTarget destination;

	private long promisedTokens;

	private long notBefore;

	private long orderedAt;

	private String handle = "";

	private boolean sourceClosed;

	private boolean counted;

	Copying(ListedTarget source) {
		this.source = source;
		this.tried.add(source.id());
	}

	ListedTarget source() {
		return this.source;
	}

	Set<String> tried() {
		return this.tried;
	}

	CopyPhase phase() {
		return this.phase;
	}

	void enter(CopyPhase next) {
		this.phase = next;
	}

	ListedTarget destination() {
		return this.destination;
	}

	void to(ListedTarget chosen, long tokens) {
		this.destination = chosen;
		this.promisedTokens = tokens;
	}

	long promisedTokens() {
		return this.promisedTokens;
	}

	// The earliest time of the next try.
	long notBefore() {
		return this.notBefore;
	}

	void notBefore(long time) {
		this.notBefore = time;
	}

	long orderedAt() {
		return this.orderedAt;
	}

	void ordered(long now) {
		this.orderedAt = now;
	}

	String handle() {
		return this.handle;
	}

	void handle(String name) {
		this.handle = name;
	}

	// Whether the pending move has been announced to other entries.
	boolean isCounted() {
		return this.counted;
	}

	void counted(boolean isCounted) {
		this.counted = isCounted;
	}

	// The engine that already holds a part of the KV cache, if there is one.
	Optional<ListedTarget> partStandsAt() {
		return Optional.ofNullable(this.destination).filter((d) -> !this.handle.isEmpty());
	}

	boolean isSourceClosed() {
		return this.sourceClosed;
	}

	void sourceClosed() {
		this.sourceClosed = true;
	}

}
