package dev.laneworks.bench.fuzz;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import dev.laneworks.core.call.CallCoordinator;
import dev.laneworks.core.call.CallOutputs;
import dev.laneworks.core.call.CallRequest;
import dev.laneworks.core.call.CallSettings;
import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.peer.ConfigurationExchange;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.retry.RetryBudget;
import dev.laneworks.core.routing.DefaultTargetSelector;
import dev.laneworks.core.routing.TargetStates;
import dev.laneworks.core.routing.TargetSubset;
import dev.laneworks.core.stream.StreamPosition;
import dev.laneworks.core.verdict.Refusal;

/**
 * Entry that runs the core's call coordinator over fake links and fake callers.
 */
final class FakeEntry extends FakeProcess implements CallOutputs {

	private static final CallSettings SETTINGS = new CallSettings(500, 500, 1_000, 3_000, 3, 8);

	private static final long PEER_CONFIRMATION_MAX_AGE_MILLIS = 3_000;

	private static final long CALLER_READ_DELAY_MILLIS = 2;

	private final VirtualTime time;

	private final FakeCluster cluster;

	private final int index;

	private final Map<Integer, FakeLink> links = new HashMap<>();

	private final Map<Long, Connection> connections = new HashMap<>();

	private final DefaultTargetSelector selector;

	private final CallCoordinator coordinator;

	private final ConfigurationExchange exchange;

	private long highestVersion;

	private long lastNumber;

	FakeEntry(VirtualTime time, SplittableRandom random, FakeCluster cluster, int index,
			FakeConfigurationService configurationService) {
		super(time);
		this.time = time;
		this.cluster = cluster;
		this.index = index;
		TargetStates states = new TargetStates();
		this.selector = new DefaultTargetSelector(states, new TargetSubset("entry-" + index, "east", 3, 3), "east",
				random);
		this.coordinator = new CallCoordinator(SETTINGS, this.selector, states, new RetryBudget(0.5, 5, 20),
				new Backoff(Duration.ofMillis(20), Duration.ofMillis(200), random), this, (e) -> {
				});
		ConfigurationKeeper keeper = new ConfigurationKeeper(new ConfigurationHolder(), configurationService,
				new Backoff(Duration.ofMillis(50), Duration.ofSeconds(1), random), PEER_CONFIRMATION_MAX_AGE_MILLIS,
				(t) -> run(() -> t.accept(time.now())), this::applyConfiguration, (e) -> {
				});
		keeper.setWatcher(false);
		this.exchange = new ConfigurationExchange(keeper, (m) -> this.links.values().forEach((l) -> send(l, m)), true);
	}

	int index() {
		return this.index;
	}

	long version() {
		return this.exchange.keeper().configurationHolder().version();
	}

	boolean isOpen(FakeLink link) {
		return this.links.get(link.sidecar().index()) == link;
	}

	boolean hasLink(int sidecar) {
		return this.links.containsKey(sidecar);
	}

	Optional<Long> incarnation(int sidecar) {
		return this.coordinator.incarnation(FakeCluster.targetName(sidecar));
	}

	void open(FakeCall call, CallRequest request) {
		long number = ++this.lastNumber;
		this.connections.put(number, new Connection(call, call.connectionCount()));
		this.coordinator.open(number, request, this.time.now());
	}

	void resume(FakeCall call, CallRequest request, StreamPosition position) {
		long number = ++this.lastNumber;
		this.connections.put(number, new Connection(call, call.connectionCount()));
		this.coordinator.resume(number, request, position, this.time.now());
	}

	void callerDisconnected(FakeCall call) {
		this.connections.entrySet().stream().filter((e) -> e.getValue().call() == call).findFirst().ifPresent((e) -> {
			this.connections.remove(e.getKey());
			this.coordinator.onCallerDisconnected(e.getKey());
		});
	}

	void linkUp(FakeLink link) {
		this.links.put(link.sidecar().index(), link);
		send(link, this.exchange.notice(this.time.now()));
		this.coordinator.onLinkUp(FakeCluster.targetName(link.sidecar().index()), link.sidecar().incarnation(),
				this.time.now());
	}

	void linkLost(FakeLink link) {
		if (this.links.remove(link.sidecar().index(), link)) {
			this.coordinator.onLinkDown(FakeCluster.targetName(link.sidecar().index()), this.time.now());
		}
	}

	void connectFailed(int sidecar) {
		this.coordinator.onLinkDown(FakeCluster.targetName(sidecar), this.time.now());
	}

	void onMessage(int sidecar, SidecarMessage message) {
		this.coordinator.onMessage(FakeCluster.targetName(sidecar), message, this.time.now());
	}

	void onMessage(FakeLink link, ConfigurationMessage message) {
		this.exchange.onMessage("sidecar", message, (m) -> send(link, m), this.time.now());
	}

	@Override
	void tick(long now) {
		this.coordinator.tick(now);
		this.exchange.tick(now);
	}

	@Override
	public void connect(String target) {
		this.cluster.connect(this, FakeCluster.targetIndex(target));
	}

	@Override
	public void send(String target, EntryMessage message) {
		FakeLink link = this.links.get(FakeCluster.targetIndex(target));
		if (link != null) {
			link.sendToSidecar(() -> link.sidecar().onMessage(link, message));
		}
	}

	@Override
	public void accepted(long call, StreamPosition position, String route) {
		findCall(call).ifPresent((c) -> c.accepted(position));
	}

	@Override
	public void deliver(long call, long offset, byte[] data) {
		findCall(call).ifPresent((c) -> c.receiveToken(offset, data));
		this.time.schedule(CALLER_READ_DELAY_MILLIS,
				() -> run(() -> this.coordinator.onCallerConsumed(call, offset + 1)));
	}

	@Override
	public void finish(long call, long total, FinishReason reason) {
		findCall(call).ifPresent((c) -> c.finish(total));
		this.connections.remove(call);
	}

	@Override
	public void refuse(long call, Refusal refusal) {
		findCall(call).ifPresent((c) -> c.refuse(refusal));
		this.connections.remove(call);
	}

	private Optional<FakeCall> findCall(long call) {
		return Optional.ofNullable(this.connections.get(call)).filter(Connection::isOpen).map(Connection::call);
	}

	private void applyConfiguration(FleetConfiguration configuration) {
		if (configuration.version() <= this.highestVersion) {
			throw new InvariantViolationException("entry " + this.index + " reverted from version "
					+ this.highestVersion + " to " + configuration.version());
		}
		this.highestVersion = configuration.version();
		this.selector.use(configuration);
		this.coordinator.applyConfiguration(configuration);
		this.exchange.announce(this.time.now());
	}

	private void send(FakeLink link, ConfigurationMessage message) {
		link.sendToSidecar(() -> link.sidecar().onMessage(link, message));
	}

	/**
	 * Connection of a caller; output sent after it was closed is dropped.
	 *
	 * @param call the call that uses the connection
	 * @param connectionCount the number of connections of the call when this one was
	 * opened
	 */
	private record Connection(FakeCall call, int connectionCount) {

		boolean isOpen() {
			return this.call.isConnected() && this.call.connectionCount() == this.connectionCount;
		}

	}

}
