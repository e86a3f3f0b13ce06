package dev.laneworks.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.Verdict;

/**
 * Request of one caller, with what the caller received over all its connections to
 * entries.
 */
final class FakeCall {

	private final int number;

	private final String requestId;

	private final Optional<IdempotencyKey> key;

	private final boolean repeatable;

	private final int length;

	private final long startedAt;

	private StreamPosition position;

	private String generation = "";

	private int receivedTokens;

	private boolean complete;

	private Refusal refusal;

	private boolean connected = true;

	private int connectionCount = 1;

	FakeCall(int number, String requestId, Optional<IdempotencyKey> key, boolean repeatable, int length,
			long startedAt) {
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

	Optional<IdempotencyKey> key() {
		return this.key;
	}

	boolean isRepeatable() {
		return this.repeatable;
	}

	long startedAt() {
		return this.startedAt;
	}

	boolean isFinished() {
		return this.complete || this.refusal != null;
	}

	boolean isComplete() {
		return this.complete;
	}

	Optional<Verdict> verdict() {
		return Optional.ofNullable(this.refusal).map(Refusal::verdict);
	}

	String cause() {
		return (this.refusal != null) ? this.refusal.reason() + ": " + this.refusal.detail() : "";
	}

	String outcome() {
		if (this.complete) {
			return "whole";
		}
		if (this.refusal != null) {
			return this.refusal.verdict().label();
		}
		return this.connected ? "open" : "entry-died";
	}

	Optional<StreamPosition> position() {
		return Optional.ofNullable(this.position)
			.map((p) -> new StreamPosition(p.target(), p.incarnation(), p.generation(), p.account(),
					this.receivedTokens));
	}

	boolean isConnected() {
		return this.connected;
	}

	int connectionCount() {
		return this.connectionCount;
	}

	void disconnect() {
		this.connected = false;
	}

	void reconnect() {
		this.connected = true;
		this.connectionCount++;
		this.refusal = null;
	}

	void accepted(StreamPosition start) {
		this.position = start;
	}

	void receiveToken(long offset, byte[] data) {
		requireOpen("a token");
		String[] parts = new String(data, StandardCharsets.UTF_8).split("#");
		if (this.generation.isEmpty()) {
			this.generation = parts[0];
		}
		require(this.generation.equals(parts[0]),
				"received tokens of two generations, " + this.generation + " and " + parts[0]);
		require(this.generation.startsWith(this.requestId) || this.key.isPresent(),
				"received a token of another request, " + parts[0]);
		require(this.key.isEmpty() || this.generation.equals(this.key.get().generationName()),
				"received a token of another key, " + parts[0]);
		require(offset == this.receivedTokens && Integer.parseInt(parts[1]) == this.receivedTokens, "received token "
				+ parts[1] + " at offset " + offset + " although " + this.receivedTokens + " was expected");
		this.receivedTokens++;
	}

	void finish(long total) {
		requireOpen("an end");
		require(this.receivedTokens == total, "ended after " + total + " tokens but received " + this.receivedTokens);
		require(this.key.isPresent() || total == this.length,
				"ended after " + total + " tokens but " + this.length + " are expected");
		this.complete = true;
	}

	void refuse(Refusal answer) {
		requireOpen("a refusal");
		require(answer.verdict() != Verdict.NOT_RUN || this.receivedTokens == 0,
				"was refused as not run after it received tokens");
		this.refusal = answer;
	}

	private void requireOpen(String what) {
		require(this.connected, "received " + what + " after its caller disconnected");
		require(!isFinished(), "received " + what + " after its final answer");
	}

	private void require(boolean condition, String problem) {
		if (!condition) {
			throw new InvariantViolationException("call " + this.number + ' ' + problem);
		}
	}

}
