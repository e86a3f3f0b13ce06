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
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.routing.DefaultTargetSelector;
import dev.laneworks.core.routing.TargetBoard;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.entry.caller.CallerAnswer;
import dev.laneworks.runtime.platform.ConfigurationKeeper;
import dev.laneworks.runtime.program.MonotonicClock;
import dev.laneworks.wire.ConfigurationMessage;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.TargetLinks;

/**
 * What the entry's one deciding duty owns.
 */
final class EntryState implements CallOutputs {

	private static final long NOTICE_GAP_MILLIS = 2_000;

	private final Map<Long, CallerAnswer> answers = new HashMap<>();

	private final Map<String, InetSocketAddress> seeds;

	private final TargetBoard board;

	private final DefaultTargetSelector selector;

	private final TargetLinks links;

	private CallCoordinator coordinator;

	private ConfigurationKeeper keeper;

	private long noticedAt;

	EntryState(TargetBoard board, DefaultTargetSelector selector, TargetLinks links,
			Map<String, InetSocketAddress> seeds) {
		this.board = board;
		this.selector = selector;
		this.links = links;
		this.seeds = Map.copyOf(seeds);
		links.use(this.seeds, this.seeds.keySet());
	}

	// The coordinator's outputs are this object, so it comes after.
	void use(CallCoordinator newCoordinator, ConfigurationKeeper newKeeper) {
		this.coordinator = newCoordinator;
		this.keeper = newKeeper;
	}

	CallCoordinator coordinator() {
		return this.coordinator;
	}

	ConfigurationKeeper keeper() {
		return this.keeper;
	}

	TargetBoard board() {
		return this.board;
	}

	DefaultTargetSelector selector() {
		return this.selector;
	}

	void register(long call, CallerAnswer answer) {
		this.answers.put(call, answer);
	}

	void callerLeft(long call) {
		if (this.answers.remove(call) != null) {
			this.coordinator.onCallerLeft(call);
		}
	}

	void inForce(FleetConfiguration configuration) {
		this.selector.use(configuration);
		this.coordinator.use(configuration);
		Map<String, InetSocketAddress> addresses = new HashMap<>();
		configuration.targets().forEach((t) -> addresses.put(t.name(), new InetSocketAddress(t.host(), t.port())));
		this.board.retain(addresses.keySet());
		Set<String> steady = this.selector.usedTargets()
			.stream()
			.map(TargetDescription::name)
			.collect(Collectors.toSet());
		this.links.use(addresses, steady);
		sendNotices(MonotonicClock.millis());
	}

	void tick() {
		long now = MonotonicClock.millis();
		this.coordinator.tick(now);
		this.keeper.tick(now);
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
		CallerAnswer answer = this.answers.get(call);
		if (answer != null) {
			answer.accepted(position, route);
		}
	}

	@Override
	public void deliver(long call, long offset, byte[] data) {
		CallerAnswer answer = this.answers.get(call);
		if (answer != null) {
			answer.deliver(offset, data);
		}
	}

	@Override
	public void finish(long call, long total, FinishReason reason) {
		CallerAnswer answer = this.answers.remove(call);
		if (answer != null) {
			answer.finish(total, reason);
		}
	}

	@Override
	public void refuse(long call, Refusal refusal) {
		CallerAnswer answer = this.answers.remove(call);
		if (answer != null) {
			answer.refuse(refusal);
		}
	}

	void onMessage(String target, SidecarMessage message) {
		this.coordinator.onMessage(target, message, MonotonicClock.millis());
	}

	private void sendNotices(long now) {
		this.noticedAt = now;
		this.links.broadcast(new ConfigurationMessage.Notice(this.keeper.ledger().version(),
				this.keeper.ledger().confirmedAgeMillis(now)));
	}

}
