package dev.laneworks.core.peer;

import java.util.function.Consumer;

import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.message.ConfigurationMessage;

/**
 * Distributes configurations between peers by version notices and document requests.
 * <p>
 * A notice is sent to all peers when a configuration becomes effective. In addition, one
 * side of each link sends periodic notices and the other side answers them. A process
 * with an older version requests the document from one peer. Reads of the platform's
 * service therefore do not grow with the fleet. Not thread-safe.
 *
 * @since 0.1
 */
public final class ConfigurationExchange {

	private static final long NOTICE_INTERVAL_MILLIS = 3_000;

	/** Time after which an unanswered request may be sent to another peer. */
	private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

	private final ConfigurationKeeper keeper;

	private final Consumer<ConfigurationMessage> broadcast;

	private final boolean periodic;

	private long lastNoticeAt;

	private long requestedVersion;

	private long requestedAt;

	/**
	 * Create an exchange.
	 * @param keeper maintains the configuration of this process
	 * @param broadcast sends a message to all peers
	 * @param periodic whether this side sends periodic notices; if not, it answers those
	 * of its peers
	 */
	public ConfigurationExchange(ConfigurationKeeper keeper, Consumer<ConfigurationMessage> broadcast,
			boolean periodic) {
		this.periodic = periodic;
		this.keeper = keeper;
		this.broadcast = broadcast;
	}

	/**
	 * Handle a peer's message.
	 * @param peer the peer's name, for the audit log
	 * @param message a notice, a request or a document
	 * @param reply sends a message to this peer
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void onMessage(String peer, ConfigurationMessage message, Consumer<ConfigurationMessage> reply, long now) {
		if (message instanceof ConfigurationMessage.Notice notice) {
			handleNotice(notice, reply, now);
		}
		else if (message instanceof ConfigurationMessage.Request) {
			long version = this.keeper.configurationHolder().version();
			this.keeper.configurationHolder()
				.text()
				.ifPresent((t) -> reply.accept(new ConfigurationMessage.Document(version, t)));
		}
		else if (message instanceof ConfigurationMessage.Document text) {
			this.keeper.onPeerDocument(peer, text.text(), now);
		}
	}

	/**
	 * Send a notice to all peers immediately.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void announce(long now) {
		this.lastNoticeAt = now;
		this.broadcast.accept(notice(now));
	}

	/**
	 * Run the tasks that are due: poll the service and send the periodic notice.
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	public void tick(long now) {
		this.keeper.tick(now);
		if (this.periodic && now - this.lastNoticeAt >= NOTICE_INTERVAL_MILLIS) {
			announce(now);
		}
	}

	/**
	 * Create a notice of the configuration in force.
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return a notice with the version and the time since its confirmation
	 */
	public ConfigurationMessage.Notice notice(long now) {
		ConfigurationHolder holder = this.keeper.configurationHolder();
		return new ConfigurationMessage.Notice(holder.version(), holder.confirmedAgeMillis(now));
	}

	/**
	 * Return the keeper of this process's configuration.
	 * @return the keeper passed to the constructor
	 */
	public ConfigurationKeeper keeper() {
		return this.keeper;
	}

	private void handleNotice(ConfigurationMessage.Notice notice, Consumer<ConfigurationMessage> reply, long now) {
		boolean newer = this.keeper.recordPeerVersion(notice.version(), notice.confirmedAgeMillis(), now);
		boolean requested = notice.version() <= this.requestedVersion
				&& now - this.requestedAt < REQUEST_TIMEOUT_MILLIS;
		if (newer && !requested) {
			this.requestedVersion = notice.version();
			this.requestedAt = now;
			reply.accept(new ConfigurationMessage.Request());
		}
		if (!this.periodic) {
			reply.accept(notice(now));
		}
	}

}
