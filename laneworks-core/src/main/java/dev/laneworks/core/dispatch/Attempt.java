package dev.laneworks.core.dispatch;

import java.util.Optional;

import dev.laneworks.core.directory.ListedTarget;

/**
 * One attempt to have a request executed by one target.
 */
final class Attempt {

	private final int number;

	private final ListedTarget target;

	private final Optional<ResumePoint> resume;

	private Optional<ListedTarget> backup;

	private long heldTokens;

	private long unreadTokens;

	private final long begunAt;

	private long sentAt = -1;

	private long answeringAt = -1;

	Attempt(int number, ListedTarget target, Optional<ResumePoint> resume, Optional<ListedTarget> backup,
			long begunAt) {
		this.number = number;
		this.target = target;
		this.resume = resume;
		this.backup = backup;
		this.begunAt = begunAt;
	}

	int number() {
		return this.number;
	}

	ListedTarget target() {
		return this.target;
	}

	Optional<ResumePoint> resume() {
		return this.resume;
	}

	// The time at which its connection was ordered.
	long begunAt() {
		return this.begunAt;
	}

	// The engine memory that is reserved for this attempt.
	long heldTokens() {
		return this.heldTokens;
	}

	void setHeldTokens(long tokens) {
		this.heldTokens = tokens;
	}

	// The prompt tokens that the engine has not read yet.
	long unreadTokens() {
		return this.unreadTokens;
	}

	void setUnreadTokens(long tokens) {
		this.unreadTokens = tokens;
	}

	// The target of the live copy, if there is one.
	Optional<ListedTarget> backup() {
		return this.backup;
	}

	void dropBackup() {
		this.backup = Optional.empty();
	}

	boolean isSent() {
		return this.sentAt >= 0;
	}

	long sentAt() {
		return this.sentAt;
	}

	void markSent(long now) {
		this.sentAt = now;
	}

	boolean isAnswering() {
		return this.answeringAt >= 0;
	}

	// The time of its first event.
	long answeringAt() {
		return this.answeringAt;
	}

	void markAnswering(long now) {
		this.answeringAt = now;
	}

}
