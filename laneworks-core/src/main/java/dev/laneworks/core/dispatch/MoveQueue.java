package dev.laneworks.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;

/**
 * The generations of this process that are to be moved away from one engine, of which one
 * at the most is copied at a time. Keeps what is believed of the engines up to date.
 */
final class MoveQueue {

	private final ListedTarget source;

	private final long noticedAt;

	private final TargetBeliefs beliefs;

	private final List<DirectCall> waiting = new ArrayList<>();

	private Optional<DirectCall> active = Optional.empty();

	/** The engines whose links the active copy uses. */
	private List<ListedTarget> engines = List.of();

	private boolean lookDue;

	/**
	 * Create an empty queue.
	 * @param source the engine
	 * @param noticedAt when its leaving was heard, in milliseconds
	 * @param beliefs what is believed of engines
	 */
	MoveQueue(ListedTarget source, long noticedAt, TargetBeliefs beliefs) {
		this.source = source;
		this.noticedAt = noticedAt;
		this.beliefs = beliefs;
	}

	ListedTarget source() {
		return this.source;
	}

	// How long ago the engine's leaving was heard, in milliseconds.
	long sinceNotice(long now) {
		return now - this.noticedAt;
	}

	void add(DirectCall call) {
		this.waiting.add(call);
		count(call, true);
	}

	// Puts a call back that can't be copied now; others may go ahead of it until it is
	// ready.
	void putBack(DirectCall call) {
		this.waiting.remove(call);
		this.waiting.add(call);
		count(call, false);
	}

	// Counts a call again that was put back, if it still waits.
	boolean readyAgain(DirectCall call) {
		boolean isWaiting = this.waiting.contains(call);
		if (isWaiting) {
			count(call, true);
		}
		return isWaiting;
	}

	/**
	 * Return the call that is to be copied next: the one with the least to copy.
	 * @param now the time in milliseconds
	 * @return the call, or empty if one is being copied or none is ready
	 */
	Optional<DirectCall> next(long now) {
		if (this.active.isPresent()) {
			return Optional.empty();
		}
		return this.waiting.stream()
			.filter((c) -> c.copying().get().notBefore() <= now)
			.min(Comparator.comparingLong(MoveQueue::tokensToCopy));
	}

	// Begins to copy a call, whose destination is chosen.
	void begin(DirectCall call) {
		this.waiting.remove(call);
		endActive();
		this.active = Optional.of(call);
		this.engines = List.of(this.source, call.copying().get().destination());
		this.engines.forEach((e) -> this.beliefs.change(e, (b) -> b.copying(1)));
	}

	void endActive() {
		this.engines.forEach((e) -> this.beliefs.change(e, (b) -> b.copying(-1)));
		this.engines = List.of();
		this.active = Optional.empty();
	}

	void remove(DirectCall call) {
		this.waiting.remove(call);
		if (this.active.filter((c) -> c == call).isPresent()) {
			endActive();
		}
		count(call, false);
	}

	boolean isEmpty() {
		return this.waiting.isEmpty() && this.active.isEmpty();
	}

	/**
	 * Ask for a look at the queue.
	 * @return {@code false} if one is due already
	 */
	boolean askForLook() {
		boolean isNew = !this.lookDue;
		this.lookDue = true;
		return isNew;
	}

	void looked() {
		this.lookDue = false;
	}

	// What is still to be copied of a call's generation, in tokens.
	static long tokensToCopy(DirectCall call) {
		long tokens = call.attempt().map(Attempt::heldTokens).orElse(0L);
		return tokens - call.standby().map(Standby::copiedTokens).orElse(0L);
	}

	private void count(DirectCall call, boolean isToMove) {
		Copying copying = call.copying().get();
		if (copying.isCounted() != isToMove) {
			copying.counted(isToMove);
			this.beliefs.change(this.source, (b) -> b.toMove(isToMove ? 1 : -1));
		}
	}

}
