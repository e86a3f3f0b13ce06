package dev.laneworks.entry;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import dev.laneworks.core.call.CallCoordinator;
import dev.laneworks.core.call.CallOutputs;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.peer.ConfigurationExchange;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.routing.DefaultTargetSelector;
import dev.laneworks.core.routing.TargetStates;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.entry.caller.CallerResponse;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.TargetLinks;

/**
 * Mutable state of an entry, confined to the thread of its duty.
 */
final class EntryState implements CallOutputs {

	private final Map<Long, CallerResponse> responses = new HashMap<>();

	private final Map<String, InetSocketAddress> seeds;

	private final TargetStates targetStates;

	private final DefaultTargetSelector selector;

	private final TargetLinks links;

	private CallCoordinator coordinator;

	private ConfigurationExchange exchange;

	EntryState(TargetStates states, DefaultTargetSelector selector, TargetLinks links,
			Map<String, InetSocketAddress> seeds) {
		this.targetStates = states;
		this.selector = selector;
		this.links = links;
		this.seeds = Map.copyOf(seeds);
		links.setTargets(this.seeds, this.seeds.keySet());
	}

	// Not in the constructor, since the coordinator takes this object as its outputs.
	void attach(CallCoordinator newCoordinator, ConfigurationKeeper newKeeper) {
		this.coordinator = newCoordinator;
		this.exchange = new ConfigurationExchange(newKeeper, this.links::broadcast, true);
	}

	CallCoordinator coordinator() {
		return this.coordinator;
	}

	ConfigurationKeeper keeper() {
		return this.exchange.keeper();
	}

	TargetStates targetStates() {
		return this.targetStates;
	}

	DefaultTargetSelector selector() {
		return this.selector;
	}

	void register(long call, CallerResponse response) {
		this.responses.put(call, response);
	}

	void onCallerDisconnected(long call) {
		if (this.responses.remove(call) != null) {
			this.coordinator.onCallerDisconnected(call);
		}
	}

	void applyConfiguration(FleetConfiguration configuration) {
		this.selector.use(configuration);
		this.coordinator.applyConfiguration(configuration);
		Map<String, InetSocketAddress> addresses = new HashMap<>();
		configuration.targets().forEach((t) -> addresses.put(t.name(), new InetSocketAddress(t.host(), t.port())));
		this.targetStates.retain(addresses.keySet());
		Set<String> permanentLinks = this.selector.usedTargets()
			.stream()
			.map(TargetDescription::name)
			.collect(Collectors.toSet());
		this.links.setTargets(addresses, permanentLinks);
		this.exchange.announce(MonotonicClock.millis());
	}

	void tick() {
		long now = MonotonicClock.millis();
		this.coordinator.tick(now);
		this.exchange.tick(now);
	}

	void onConfigurationMessage(Link link, ConfigurationMessage message) {
		this.exchange.onMessage(link.peer().name(), message, link::send, MonotonicClock.millis());
	}

	@Override
	public void connect(String target) {
		this.links.connect(target);
	}

	@Override
	public void send(String target, EntryMessage message) {
		this.links.send(target, message);
	}

	@Override
	public void accepted(long call, StreamPosition position, String route) {
		CallerResponse response = this.responses.get(call);
		if (response != null) {
			response.accepted(position, route);
		}
	}

	@Override
	public void deliver(long call, long offset, byte[] data) {
		CallerResponse response = this.responses.get(call);
		if (response != null) {
			response.deliver(offset, data);
		}
	}

	@Override
	public void finish(long call, long total, FinishReason reason) {
		CallerResponse response = this.responses.remove(call);
		if (response != null) {
			response.finish(total, reason);
		}
	}

	@Override
	public void refuse(long call, Refusal refusal) {
		CallerResponse response = this.responses.remove(call);
		if (response != null) {
			response.refuse(refusal);
		}
	}

	void onMessage(String target, SidecarMessage message) {
		this.coordinator.onMessage(target, message, MonotonicClock.millis());
	}

}
