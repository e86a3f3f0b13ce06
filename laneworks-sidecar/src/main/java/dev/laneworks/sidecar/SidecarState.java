package dev.laneworks.sidecar;

import java.util.Map;

import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.host.GenerationHost;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.runtime.platform.ConfigurationKeeper;
import dev.laneworks.runtime.platform.ConfigurationWatchers;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.ConfigurationMessage;
import dev.laneworks.wire.Link;

/**
 * What the sidecar's one deciding duty owns.
 */
final class SidecarState {

	private static final long NOTICE_GAP_MILLIS = 2_000;

	private static final long LOAD_GAP_MILLIS = 200;

	private final String target;

	private final ViewHistory views;

	private final Map<Long, Link> links;

	private final GenerationHost host;

	private final ConfigurationKeeper keeper;

	private final SidecarOutputs outputs;

	private long noticedAt;

	private long loadReportedAt;

	SidecarState(String target, ViewHistory views, Map<Long, Link> links, GenerationHost host,
			ConfigurationKeeper keeper, SidecarOutputs outputs) {
		this.target = target;
		this.views = views;
		this.links = links;
		this.host = host;
		this.keeper = keeper;
		this.outputs = outputs;
	}

	GenerationHost host() {
		return this.host;
	}

	ConfigurationKeeper keeper() {
		return this.keeper;
	}

	SidecarOutputs outputs() {
		return this.outputs;
	}

	int linkCount() {
		return this.links.size();
	}

	void onLinkUp(Link link) {
		this.links.put(link.number(), link);
		link.send(notice(MonotonicClock.millis()));
		this.host.onMessage(link.number(), new EntryMessage.Probe(), MonotonicClock.millis());
	}

	void onLinkDown(Link link) {
		this.links.remove(link.number());
		this.host.onLinkLost(link.number(), MonotonicClock.millis());
	}

	void inForce(FleetConfiguration configuration) {
		long now = MonotonicClock.millis();
		this.views.record(configuration.targets(), now);
		this.keeper.setWatcher(ConfigurationWatchers.isWatcher(configuration, this.target));
		sendNotices(now);
	}

	void leave(String cause) {
		this.host.leave(cause, MonotonicClock.millis());
		this.outputs.reportLoadToAll(this.host.load());
	}

	void tick() {
		long now = MonotonicClock.millis();
		this.host.tick(now);
		this.keeper.tick(now);
		this.keeper.ledger().current().ifPresent((c) -> this.views.forget(now - KeyGuard.memoryMillis(c)));
		if (now - this.loadReportedAt >= LOAD_GAP_MILLIS) {
			this.loadReportedAt = now;
			this.outputs.reportLoad(this.host.load());
		}
		if (now - this.noticedAt >= NOTICE_GAP_MILLIS) {
			sendNotices(now);
		}
	}

	void onConfigurationMessage(Link link, ConfigurationMessage message) {
		long now = MonotonicClock.millis();
		if (message instanceof ConfigurationMessage.Notice notice) {
			if (this.keeper.onPeerNotice(notice.version(), notice.confirmedAgeMillis(), now)) {
				link.send(new ConfigurationMessage.Request());
			}
		}
		else if (message instanceof ConfigurationMessage.Request) {
			long version = this.keeper.ledger().version();
			this.keeper.ledger().text().ifPresent((t) -> link.send(new ConfigurationMessage.Text(version, t)));
		}
		else if (message instanceof ConfigurationMessage.Text text) {
			this.keeper.onPeerDocument(link.peer().name(), text.text(), now);
		}
	}

	private ConfigurationMessage.Notice notice(long now) {
		return new ConfigurationMessage.Notice(this.keeper.ledger().version(),
				this.keeper.ledger().confirmedAgeMillis(now));
	}

	private void sendNotices(long now) {
		this.noticedAt = now;
		ConfigurationMessage.Notice notice = notice(now);
		this.links.values().forEach((l) -> l.send(notice));
	}

}
