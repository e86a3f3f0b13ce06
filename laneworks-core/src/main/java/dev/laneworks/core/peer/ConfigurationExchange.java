package dev.laneworks.core.peer;

import java.util.function.Consumer;

import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.message.ConfigurationMessage;

/**
 * Tells peers which configuration is in force and passes documents on.
 * <p>
 * A notice goes out when a configuration comes in force. Besides, one side of each link
 * sends notices every few seconds and the other answers them. Who holds an older version
 * asks one peer for the document. So a new version crosses the fleet link by link, and
 * reads of the platform's service do not grow with the fleet. Not thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationExchange {

	private static final long NOTICE_GAP_MILLIS = 3_000;

	/** How long a peer may take to send a document before another is asked. */
	private static final long REQUEST_MILLIS = 1_000;

	private final ConfigurationKeeper keeper;

	private final Consumer<ConfigurationMessage> broadcast;

	private final boolean periodic;

	private long noticedAt;

	private long requestedVersion;

	private long requestedAt;

	/**
	 * Create an exchange.
	 * @param keeper the process's configuration
	 * @param broadcast sends a message to all peers
	 * @param periodic whether this side sends notices regularly, rather than answering
	 * those of its peers
	 */
	public ConfigurationExchange(ConfigurationKeeper keeper, Consumer<ConfigurationMessage> broadcast,
			boolean periodic) {
		this.periodic = periodic;
		this.keeper = keeper;
		this.broadcast = broadcast;
	}

	/**
	 * Handle a peer's message.
	 * @param peer the peer's name
	 * @param message the message
	 * @param reply sends a message to this peer
	 * @param now the time in milliseconds
	 */
	public void onMessage(String peer, ConfigurationMessage message, Consumer<ConfigurationMessage> reply, long now) {
		if (message instanceof ConfigurationMessage.Notice notice) {
			onNotice(notice, reply, now);
		}
		else if (message instanceof ConfigurationMessage.Request) {
			long version = this.keeper.ledger().version();
			this.keeper.ledger().text().ifPresent((t) -> reply.accept(new ConfigurationMessage.Text(version, t)));
		}
		else if (message instanceof ConfigurationMessage.Text text) {
			this.keeper.onPeerDocument(peer, text.text(), now);
		}
	}

	/**
	 * Tell all peers at once.
	 * @param now the time in milliseconds
	 */
	public void announce(long now) {
		this.noticedAt = now;
		this.broadcast.accept(notice(now));
	}

	/**
	 * Do what is due.
	 * @param now the time in milliseconds
	 */
	public void tick(long now) {
		this.keeper.tick(now);
		if (this.periodic && now - this.noticedAt >= NOTICE_GAP_MILLIS) {
			announce(now);
		}
	}

	/**
	 * Return what this process tells its peers.
	 * @param now the time in milliseconds
	 * @return the notice
	 */
	public ConfigurationMessage.Notice notice(long now) {
		ConfigurationLedger ledger = this.keeper.ledger();
		return new ConfigurationMessage.Notice(ledger.version(), ledger.confirmedAgeMillis(now));
	}

	/**
	 * Return the process's configuration.
	 * @return the keeper
	 */
	public ConfigurationKeeper keeper() {
		return this.keeper;
	}

	private void onNotice(ConfigurationMessage.Notice notice, Consumer<ConfigurationMessage> reply, long now) {
		boolean newer = this.keeper.onPeerNotice(notice.version(), notice.confirmedAgeMillis(), now);
		boolean asked = notice.version() <= this.requestedVersion && now - this.requestedAt < REQUEST_MILLIS;
		if (newer && !asked) {
			this.requestedVersion = notice.version();
			this.requestedAt = now;
			reply.accept(new ConfigurationMessage.Request());
		}
		if (!this.periodic) {
			reply.accept(notice(now));
		}
	}

}
