package dev.laneworks.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.Verdict;

/**
 * One caller's request, over all the entries it is read through, and what the caller saw
 * of it.
 */
final class FakeCall {

	private final int number;

	private final String requestId;

	private final Optional<OnceKey> key;

	private final boolean repeatable;

	private final int length;

	private final long startedAt;

	private StreamPosition position;

	private String generation = "";

	private int seen;

	private boolean whole;

	private Refusal refusal;

	private boolean connected = true;

	private int tries = 1;

	FakeCall(int number, String requestId, Optional<OnceKey> key, boolean repeatable, int length, long startedAt) {
		this.number = number;
		this.requestId = requestId;
		this.key = key;
		this.repeatable = repeatable;
		this.length = length;
		this.startedAt = startedAt;
	}

	int number() {
		return this.number;
	}

	String requestId() {
		return this.requestId;
	}

	Optional<OnceKey> key() {
		return this.key;
	}

	boolean isRepeatable() {
		return this.repeatable;
	}

	long startedAt() {
		return this.startedAt;
	}

	boolean isOver() {
		return this.whole || this.refusal != null;
	}

	boolean isWhole() {
		return this.whole;
	}

	Optional<Verdict> verdict() {
		return Optional.ofNullable(this.refusal).map(Refusal::verdict);
	}

	String cause() {
		return (this.refusal != null) ? this.refusal.reason() + ": " + this.refusal.detail() : "";
	}

	String outcome() {
		if (this.whole) {
			return "whole";
		}
		if (this.refusal != null) {
			return this.refusal.verdict().label();
		}
		return this.connected ? "open" : "entry-died";
	}

	Optional<StreamPosition> position() {
		return Optional.ofNullable(this.position)
			.map((p) -> new StreamPosition(p.target(), p.incarnation(), p.generation(), p.account(), this.seen));
	}

	boolean isConnected() {
		return this.connected;
	}

	int tries() {
		return this.tries;
	}

	void disconnect() {
		this.connected = false;
	}

	void reconnect() {
		this.connected = true;
		this.tries++;
		this.refusal = null;
	}

	void accepted(StreamPosition start) {
		this.position = start;
	}

	void token(long offset, byte[] data) {
		requireOpen("a token");
		String[] parts = new String(data, StandardCharsets.UTF_8).split("#");
		if (this.generation.isEmpty()) {
			this.generation = parts[0];
		}
		require(this.generation.equals(parts[0]),
				"saw tokens of two generations, " + this.generation + " and " + parts[0]);
		require(this.generation.startsWith(this.requestId) || this.key.isPresent(),
				"saw a token of another request, " + parts[0]);
		require(this.key.isEmpty() || this.generation.equals(this.key.get().generationName()),
				"saw a token of another key, " + parts[0]);
		require(offset == this.seen && Integer.parseInt(parts[1]) == this.seen,
				"saw token " + parts[1] + " at offset " + offset + " when " + this.seen + " was next");
		this.seen++;
	}

	void finish(long total) {
		requireOpen("an end");
		require(this.seen == total, "was told that " + total + " tokens are the whole but saw " + this.seen);
		require(this.key.isPresent() || total == this.length,
				"was told that " + total + " tokens are the whole but " + this.length + " are");
		this.whole = true;
	}

	void refuse(Refusal answer) {
		requireOpen("a refusal");
		require(answer.verdict() != Verdict.NOT_RUN || this.seen == 0, "was refused as not run after tokens came");
		this.refusal = answer;
	}

	private void requireOpen(String what) {
		require(this.connected, "got " + what + " after its caller had left");
		require(!isOver(), "got " + what + " after its final answer");
	}

	private void require(boolean holds, String problem) {
		if (!holds) {
			throw new PromiseBrokenException("call " + this.number + ' ' + problem);
		}
	}

}
