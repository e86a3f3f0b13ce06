package dev.laneworks.core.dispatch;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongConsumer;

import dev.laneworks.core.directory.ListedTarget;

/**
 * Progress of the move of one executing generation to another engine.
 */
final class GenerationMove {

	private final ListedTarget source;

	private final Set<String> triedIds = new HashSet<>();

	private CopyPhase phase = CopyPhase.WAITING;

	private ListedTarget destination;

	private long reservedTokens;

	private long notBefore;

	private long orderedAt;

	private CopyOrder order;

	private String handle = "";

	private Optional<EndedStream> sourceEnd = Optional.empty();

	private boolean announced;

	GenerationMove(ListedTarget source) {
		this.source = source;
		this.triedIds.add(source.id());
	}

	ListedTarget source() {
		return this.source;
	}

	Set<String> triedIds() {
		return this.triedIds;
	}

	CopyPhase phase() {
		return this.phase;
	}

	void setPhase(CopyPhase next) {
		this.phase = next;
	}

	ListedTarget destination() {
		return this.destination;
	}

	void setDestination(ListedTarget chosen, long tokens) {
		this.destination = chosen;
		this.reservedTokens = tokens;
	}

	long reservedTokens() {
		return this.reservedTokens;
	}

	// The earliest time of the next try.
	long notBefore() {
		return this.notBefore;
	}

	void setNotBefore(long time) {
		this.notBefore = time;
	}

	long orderedAt() {
		return this.orderedAt;
	}

	// Whether an order is the latest one of this move. Another order may be equal to it.
	boolean hasIssued(CopyOrder candidate) {
		return this.order == candidate;
	}

	void setOrder(CopyOrder sent, long now) {
		this.order = sent;
		this.orderedAt = now;
	}

	String handle() {
		return this.handle;
	}

	void setHandle(String name) {
		this.handle = name;
	}

	// Whether the pending move has been announced to other entries.
	boolean isAnnounced() {
		return this.announced;
	}

	void setAnnounced(boolean newValue) {
		this.announced = newValue;
	}

	// The engine that already holds a part of the KV cache, if there is one.
	Optional<ListedTarget> findPartialCopyHolder() {
		return Optional.ofNullable(this.destination).filter((d) -> !this.handle.isEmpty());
	}

	// The end of the stream of the source engine, once it has ended.
	Optional<EndedStream> sourceEnd() {
		return this.sourceEnd;
	}

	void setSourceEnd(EndedStream end) {
		this.sourceEnd = Optional.of(end);
	}

	/**
	 * Stream that ended although its generation may be stopped.
	 *
	 * @param attempt the attempt at the source engine
	 * @param end what its framing shows
	 * @param unlessStopped receives the time if no order stopped the generation
	 */
	record EndedStream(Attempt attempt, StreamEnd end, LongConsumer unlessStopped) {

	}

}
