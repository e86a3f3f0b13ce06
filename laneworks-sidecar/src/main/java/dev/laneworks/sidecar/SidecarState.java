package dev.laneworks.sidecar;

import java.util.Map;

import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.host.GenerationHost;
import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.peer.ConfigurationExchange;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.peer.ConfigurationWatchers;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.Link;

/**
 * Mutable state of a sidecar, confined to the thread of its duty.
 */
final class SidecarState {

	private final String target;

	private final ViewHistory views;

	private final Map<Long, Link> links;

	private final GenerationHost host;

	private final ConfigurationExchange exchange;

	private final SidecarOutputs outputs;

	SidecarState(String target, ViewHistory views, Map<Long, Link> links, GenerationHost host,
			ConfigurationKeeper keeper, SidecarOutputs outputs) {
		this.target = target;
		this.views = views;
		this.links = links;
		this.host = host;
		this.exchange = new ConfigurationExchange(keeper, (m) -> links.values().forEach((l) -> l.send(m)), false);
		this.outputs = outputs;
		outputs.setLoad(host::load);
	}

	GenerationHost host() {
		return this.host;
	}

	ConfigurationKeeper keeper() {
		return this.exchange.keeper();
	}

	SidecarOutputs outputs() {
		return this.outputs;
	}

	int linkCount() {
		return this.links.size();
	}

	void onLinkUp(Link link) {
		this.links.put(link.number(), link);
		if (this.host.isStopped()) {
			link.send(new SidecarMessage.Shutdown());
			return;
		}
		link.send(this.exchange.notice(MonotonicClock.millis()));
		this.host.onMessage(link.number(), new EntryMessage.Probe(), MonotonicClock.millis());
	}

	void onLinkDown(Link link) {
		this.links.remove(link.number());
		this.host.onLinkLost(link.number(), MonotonicClock.millis());
	}

	void applyConfiguration(FleetConfiguration configuration) {
		long now = MonotonicClock.millis();
		this.views.record(configuration.targets(), now);
		this.exchange.keeper().setWatcher(ConfigurationWatchers.isWatcher(configuration, this.target));
		this.exchange.announce(now);
	}

	void leave(String cause) {
		this.host.drain(cause, MonotonicClock.millis());
		this.outputs.sendLoadToAll();
	}

	void sendFarewell() {
		this.host.stop();
		this.links.values().forEach((l) -> l.send(new SidecarMessage.Shutdown()));
	}

	void tick() {
		long now = MonotonicClock.millis();
		this.host.tick(now);
		this.exchange.tick(now);
		this.exchange.keeper()
			.configurationHolder()
			.current()
			.ifPresent((c) -> this.views.removeReplacedBefore(now - c.keyTimes().retentionMillis()));
	}

	void onConfigurationMessage(Link link, ConfigurationMessage message) {
		this.exchange.onMessage(link.peer().name(), message, link::send, MonotonicClock.millis());
		if (message instanceof ConfigurationMessage.Notice) {
			this.outputs.sendLoad(link);
		}
	}

}
