package dev.laneworks.core.peer;

import java.io.IOException;
import java.util.function.Consumer;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.document.InvalidDocumentException;
import dev.laneworks.core.retry.Backoff;
import io.vavr.control.Either;

/**
 * Keeps a process's configuration up to date from the platform's service and from peers.
 * <p>
 * The process watches the service while it is one of the watchers, or while nobody else
 * has lately heard the service hold the version in force. Owned by one duty, on whose
 * thread all methods are called; answers of the service come back through the executor
 * given. Not thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationKeeper {

	private final ConfigurationLedger ledger;

	private final ConfigurationService service;

	private final Backoff backoff;

	private final Consumer<Consumer<Long>> onDutyThread;

	private final Consumer<FleetConfiguration> inForce;

	private final AuditSink audit;

	private final long peersSufficeMillis;

	private boolean watcher = true;

	private boolean calling;

	private int failures;

	private long nextCallAt;

	private String lastRefusal = "";

	private long serviceCalls;

	/**
	 * Create a keeper.
	 * @param ledger the configuration in force
	 * @param service the platform's service
	 * @param backoff spreads calls after failures
	 * @param peersSufficeMillis how fresh a peer's word must be for a process that is no
	 * watcher not to ask the service
	 * @param onDutyThread runs a task, given the time, on the thread that owns this
	 * object
	 * @param inForce hears of each configuration that comes in force
	 * @param audit takes audit events
	 */
	public ConfigurationKeeper(ConfigurationLedger ledger, ConfigurationService service, Backoff backoff,
			long peersSufficeMillis, Consumer<Consumer<Long>> onDutyThread, Consumer<FleetConfiguration> inForce,
			AuditSink audit) {
		this.ledger = ledger;
		this.service = service;
		this.backoff = backoff;
		this.peersSufficeMillis = peersSufficeMillis;
		this.onDutyThread = onDutyThread;
		this.inForce = inForce;
		this.audit = audit;
	}

	/**
	 * Say whether this process is one of those that always watch the service.
	 * @param isWatcher whether it is
	 */
	public void setWatcher(boolean isWatcher) {
		this.watcher = isWatcher;
	}

	/**
	 * Do what is due.
	 * @param now the time in milliseconds
	 */
	public void tick(long now) {
		if (this.calling || now < this.nextCallAt) {
			return;
		}
		if (!this.watcher && this.ledger.confirmedAgeMillis(now) < this.peersSufficeMillis) {
			return;
		}
		this.calling = true;
		this.serviceCalls++;
		this.service.watch(this.ledger.version(), (r) -> this.onDutyThread.accept((t) -> onAnswer(r, t)));
	}

	/**
	 * Take a document from a peer.
	 * @param peer the peer's name
	 * @param text the document
	 * @param now the time in milliseconds
	 */
	public void onPeerDocument(String peer, String text, long now) {
		offer("peer " + peer, text, now);
	}

	/**
	 * Take a peer's word on which version it holds.
	 * @param version the peer's version
	 * @param confirmedAgeMillis how long ago the service was heard to hold it
	 * @param now the time in milliseconds
	 * @return whether the peer should be asked for its document
	 */
	public boolean onPeerNotice(long version, long confirmedAgeMillis, long now) {
		if (confirmedAgeMillis != ConfigurationLedger.NEVER_CONFIRMED) {
			this.ledger.confirm(version, confirmedAgeMillis, now);
		}
		return version > this.ledger.version();
	}

	/**
	 * Return the configuration in force and its age.
	 * @return the ledger
	 */
	public ConfigurationLedger ledger() {
		return this.ledger;
	}

	/**
	 * Return the fault of the last document refused.
	 * @return the fault, or empty text
	 */
	public String lastRefusal() {
		return this.lastRefusal;
	}

	/**
	 * Return how often the service was called.
	 * @return the count since the start
	 */
	public long serviceCalls() {
		return this.serviceCalls;
	}

	private void onAnswer(Either<IOException, PublishedDocument> answer, long now) {
		this.calling = false;
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
		PublishedDocument held = answer.get();
		if (!held.text().isEmpty()) {
			offer("configuration service", held.text(), now);
		}
		// A stale service names an older version and so confirms nothing.
		this.ledger.confirm(held.version(), 0, now);
	}

	private void offer(String source, String text, long now) {
		Either<InvalidDocumentException, ConfigurationLedger.Outcome> outcome = this.ledger.offer(source, text, now);
		if (outcome.isLeft()) {
			refused(outcome.getLeft().getMessage());
			return;
		}
		switch (outcome.get()) {
			case ACCEPTED -> {
				this.lastRefusal = "";
				this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_ACCEPTED, "version " + this.ledger.version(),
						"", "from " + source));
				this.inForce.accept(this.ledger.current().orElseThrow());
			}
			case CONFLICT -> refused(source + ": another document bears version " + this.ledger.version());
			case SAME, OLDER -> {
			}
		}
	}

	private void refused(String fault) {
		if (!fault.equals(this.lastRefusal)) {
			this.lastRefusal = fault;
			this.audit.record(AuditEvent.of(AuditKind.CONFIGURATION_REFUSED, "version above " + this.ledger.version(),
					"", fault));
		}
	}

}
