package dev.laneworks.core.peer;

import java.io.IOException;
import java.util.function.Consumer;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.document.InvalidDocumentException;
import dev.laneworks.core.retry.Backoff;
import io.vavr.control.Either;

/**
 * Keeps a process's configuration up to date from the platform's service and from peers.
 * <p>
 * A watcher always watches the service. Any other process watches it only while no peer
 * has recently confirmed the version in force. All methods are called on the thread of
 * the duty that owns the keeper; answers of the service are passed to that thread. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationKeeper {

	private final ConfigurationHolder configurationHolder;

	private final ConfigurationService service;

	private final Backoff backoff;

	private final Consumer<Consumer<Long>> onDutyThread;

	private final Consumer<FleetConfiguration> onChange;

	private final AuditSink audit;

	private final long maxPeerAgeMillis;

	private boolean watcher = true;

	private boolean callInProgress;

	private int failures;

	private long nextCallAt;

	private String lastRefusal = "";

	private long serviceCalls;

	/**
	 * Create a keeper that is a watcher until {@link #setWatcher} is called.
	 * @param holder holds the configuration in force
	 * @param service the configuration service of the platform
	 * @param backoff calculates the delay between calls of the service
	 * @param maxPeerAgeMillis the maximum age of a confirmation, in milliseconds, with
	 * which a process that is not a watcher does not call the service
	 * @param onDutyThread runs a task on the thread that owns this object and passes the
	 * current time to it
	 * @param onChange receives each configuration that becomes effective
	 * @param audit records decisions and their causes
	 */
	public ConfigurationKeeper(ConfigurationHolder holder, ConfigurationService service, Backoff backoff,
			long maxPeerAgeMillis, Consumer<Consumer<Long>> onDutyThread, Consumer<FleetConfiguration> onChange,
			AuditSink audit) {
		this.configurationHolder = holder;
		this.service = service;
		this.backoff = backoff;
		this.maxPeerAgeMillis = maxPeerAgeMillis;
		this.onDutyThread = onDutyThread;
		this.onChange = onChange;
		this.audit = audit;
	}

	/**
	 * Set whether this process is a watcher.
	 * @param isWatcher {@code true} if the process always watches the service
	 */
	public void setWatcher(boolean isWatcher) {
		this.watcher = isWatcher;
	}

	/**
	 * Call the service if a call is due and none is in progress.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void tick(long now) {
		if (this.callInProgress || now < this.nextCallAt) {
			return;
		}
		if (!this.watcher && this.configurationHolder.confirmedAgeMillis(now) < this.maxPeerAgeMillis) {
			return;
		}
		this.callInProgress = true;
		this.serviceCalls++;
		this.service.watch(this.configurationHolder.version(),
				(r) -> this.onDutyThread.accept((t) -> handleAnswer(r, t)));
	}

	/**
	 * Handle a document from a peer.
	 * @param peer the peer's name, for the audit log
	 * @param text the text of the document
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void onPeerDocument(String peer, String text, long now) {
		offer("peer " + peer, text, now);
	}

	/**
	 * Record the version that is in force at a peer.
	 * @param version the peer's version, or 0 for none
	 * @param confirmedAgeMillis the time since the service confirmed the version, in
	 * milliseconds, or {@link ConfigurationHolder#NEVER_CONFIRMED}
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the peer's version is newer than the one in force
	 */
	public boolean recordPeerVersion(long version, long confirmedAgeMillis, long now) {
		if (confirmedAgeMillis != ConfigurationHolder.NEVER_CONFIRMED) {
			this.configurationHolder.confirm(version, confirmedAgeMillis, now);
		}
		return version > this.configurationHolder.version();
	}

	/**
	 * Return the holder of the configuration in force and its age.
	 * @return the holder passed to the constructor
	 */
	public ConfigurationHolder configurationHolder() {
		return this.configurationHolder;
	}

	/**
	 * Return the reason why a document was last refused.
	 * @return the reason, or empty text if none was refused since the last acceptance
	 */
	public String lastRefusal() {
		return this.lastRefusal;
	}

	/**
	 * Return the number of calls of the service.
	 * @return the number since the start
	 */
	public long serviceCalls() {
		return this.serviceCalls;
	}

	private void handleAnswer(Either<IOException, PublishedDocument> answer, long now) {
		this.callInProgress = false;
		if (answer.isLeft()) {
			if (this.failures++ == 0) {
				this.audit
					.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "lost", "", answer.getLeft().toString()));
			}
			this.nextCallAt = now + this.backoff.delayMillis(this.failures);
			return;
		}
		if (this.failures > 0) {
			this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_SERVICE, "back", "", ""));
		}
		this.failures = 0;
		this.nextCallAt = now + this.backoff.delayMillis(1);
		PublishedDocument published = answer.get();
		if (!published.text().isEmpty()) {
			offer("configuration service", published.text(), now);
		}
		// A stale service reports an older version, which confirms nothing.
		this.configurationHolder.confirm(published.version(), 0, now);
	}

	private void offer(String source, String text, long now) {
		Either<InvalidDocumentException, ConfigurationHolder.Outcome> outcome = this.configurationHolder.offer(source,
				text, now);
		if (outcome.isLeft()) {
			recordRefusal(outcome.getLeft().getMessage());
			return;
		}
		switch (outcome.get()) {
			case ACCEPTED -> {
				this.lastRefusal = "";
				this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_ACCEPTED,
						"version " + this.configurationHolder.version(), "", "from " + source));
				this.onChange.accept(this.configurationHolder.current().orElseThrow());
			}
			case CONFLICT -> recordRefusal(
					source + ": a different document has the same version " + this.configurationHolder.version());
			case SAME, OLDER -> {
			}
		}
	}

	private void recordRefusal(String fault) {
		if (!fault.equals(this.lastRefusal)) {
			this.lastRefusal = fault;
			this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_REFUSED,
					"version above " + this.configurationHolder.version(), "", fault));
		}
	}

}
