package dev.laneworks.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import dev.laneworks.core.admission.LearnedLengthModel;
import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.configuration.FleetConfiguration;
import dev.laneworks.core.host.GenerationHost;
import dev.laneworks.core.host.HostOutputs;
import dev.laneworks.core.host.HostSettings;
import dev.laneworks.core.message.ConfigurationMessage;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.RevocationOutcome;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.once.ViewHistory;
import dev.laneworks.core.peer.ConfigurationExchange;
import dev.laneworks.core.peer.ConfigurationKeeper;
import dev.laneworks.core.retry.Backoff;

/**
 * Sidecar that runs the core's generation host over fake links and a fake engine.
 */
final class FakeSidecar extends FakeProcess implements HostOutputs {

	private static final long ENGINE_DELAY_MILLIS = 3;

	private static final long PEER_CONFIRMATION_MAX_AGE_MILLIS = 3_000;

	private static final HostSettings SETTINGS = new HostSettings(4, 8, 0, 0.97, 2, 20_000, 4_000, 6_000, 3_000, 1_000,
			3_000, 64);

	private final VirtualTime time;

	private final FakeCluster cluster;

	private final int index;

	private final long incarnation;

	private final FakeEngine engine;

	private final Map<Long, FakeLink> links = new HashMap<>();

	private final Map<String, FakeStream> streams = new HashMap<>();

	private final ViewHistory views = new ViewHistory();

	private final GenerationHost host;

	private final ConfigurationExchange exchange;

	private long highestVersion;

	private boolean draining;

	private KeyRevocation keyRevocation;

	FakeSidecar(VirtualTime time, SplittableRandom random, FakeCluster cluster, int index, long incarnation,
			FakeEngine engine, FakeConfigurationService configurationService) {
		super(time);
		this.time = time;
		this.cluster = cluster;
		this.index = index;
		this.incarnation = incarnation;
		this.engine = engine;
		ConfigurationHolder holder = new ConfigurationHolder();
		KeyGuard guard = new KeyGuard(FakeCluster.targetName(index), incarnation, time.now(), this.views);
		this.host = new GenerationHost(FakeCluster.targetName(index), incarnation, SETTINGS, guard, holder,
				new LearnedLengthModel(64, 64), this, (e) -> {
				}, time.now());
		Backoff backoff = new Backoff(Duration.ofMillis(50), Duration.ofSeconds(1), random);
		ConfigurationKeeper keeper = new ConfigurationKeeper(holder, configurationService, backoff,
				PEER_CONFIRMATION_MAX_AGE_MILLIS, (t) -> run(() -> t.accept(time.now())), this::applyConfiguration,
				(e) -> {
				});
		keeper.setWatcher(index == 0);
		this.exchange = new ConfigurationExchange(keeper, (m) -> this.links.values().forEach((l) -> send(l, m)), false);
	}

	int index() {
		return this.index;
	}

	long incarnation() {
		return this.incarnation;
	}

	long version() {
		return this.exchange.keeper().configurationHolder().version();
	}

	boolean isDrained() {
		return this.draining && this.host.isIdle(this.time.now());
	}

	void drain() {
		this.draining = true;
		this.host.drain("graceful shutdown", this.time.now());
		this.links.keySet().forEach((l) -> send(l, new SidecarMessage.Load(this.host.load())));
	}

	void announceShutdown() {
		this.host.stop();
		this.links.keySet().forEach((l) -> send(l, new SidecarMessage.Shutdown()));
	}

	void linkUp(FakeLink link) {
		this.links.put(link.number(), link);
		if (this.host.isStopped()) {
			send(link.number(), new SidecarMessage.Shutdown());
			return;
		}
		send(link, this.exchange.notice(this.time.now()));
	}

	void linkLost(FakeLink link) {
		this.links.remove(link.number());
		this.host.onLinkLost(link.number(), this.time.now());
	}

	void onMessage(FakeLink link, EntryMessage message) {
		this.host.onMessage(link.number(), message, this.time.now());
	}

	void onMessage(FakeLink link, ConfigurationMessage message) {
		this.exchange.onMessage("entry", message, (m) -> send(link, m), this.time.now());
	}

	RevocationOutcome revokeKey(IdempotencyKey key) {
		KeyRevocation revocation = new KeyRevocation();
		this.keyRevocation = revocation;
		this.host.onMessage(KeyRevocation.LINK, new EntryMessage.RevokeKey(key), this.time.now());
		this.keyRevocation = null;
		return revocation.outcome;
	}

	@Override
	void tick(long now) {
		this.host.tick(now);
		this.exchange.tick(now);
		this.exchange.keeper()
			.configurationHolder()
			.current()
			.ifPresent((c) -> this.views.removeReplacedBefore(now - c.keyTimes().retentionMillis()));
	}

	@Override
	public void send(long link, SidecarMessage message) {
		if (link == KeyRevocation.LINK && message instanceof SidecarMessage.KeyRevokeResult result) {
			this.keyRevocation.outcome = result.outcome();
			return;
		}
		FakeLink openLink = this.links.get(link);
		if (openLink != null) {
			openLink.sendToEntry(() -> openLink.entry().onMessage(this.index, message));
		}
	}

	@Override
	public void start(String generation, SidecarRequest request) {
		if (this.host.isDraining()) {
			throw new InvariantViolationException("a draining target started a new generation: " + generation);
		}
		int length = Integer.parseInt(new String(request.body(), StandardCharsets.UTF_8));
		FakeStream stream = openStream(generation);
		this.time.schedule(ENGINE_DELAY_MILLIS, () -> this.engine.start(generation, length, stream));
	}

	@Override
	public void reattach(String generation, long offset) {
		FakeStream stream = openStream(generation);
		this.time.schedule(ENGINE_DELAY_MILLIS, () -> this.engine.reattach(generation, (int) offset, stream));
	}

	@Override
	public void cancel(String generation) {
		FakeStream stream = this.streams.remove(generation);
		if (stream != null) {
			stream.detach();
		}
		this.time.schedule(ENGINE_DELAY_MILLIS, () -> this.engine.cancel(generation));
	}

	@Override
	public void preempt(String generation) {
		throw new IllegalStateException("the fuzz tool does not limit memory");
	}

	@Override
	public void resume(String generation) {
		throw new IllegalStateException("the fuzz tool does not limit memory");
	}

	@Override
	public void lookUp(String generation) {
		this.time.schedule(ENGINE_DELAY_MILLIS, () -> {
			boolean found = this.engine.holds(generation);
			run(() -> this.host.onLookUp(generation, found, this.time.now()));
		});
	}

	@Override
	public void requestKeyRevocation(String home, IdempotencyKey key) {
		this.cluster.revokeKeyAtHome(this, home, key,
				(o) -> run(() -> this.host.onKeyRevocationAnswer(home, key, o, this.time.now())));
	}

	private void applyConfiguration(FleetConfiguration configuration) {
		if (configuration.version() <= this.highestVersion) {
			throw new InvariantViolationException("sidecar " + this.index + " reverted from version "
					+ this.highestVersion + " to " + configuration.version());
		}
		this.highestVersion = configuration.version();
		this.views.record(configuration.targets(), this.time.now());
		this.exchange.announce(this.time.now());
	}

	private void send(FakeLink link, ConfigurationMessage message) {
		link.sendToEntry(() -> link.entry().onMessage(link, message));
	}

	private FakeStream openStream(String generation) {
		FakeStream stream = new FakeStream(this.time, this, this.host, generation);
		FakeStream old = this.streams.put(generation, stream);
		if (old != null) {
			old.detach();
		}
		return stream;
	}

	/**
	 * Revocation of a key that another sidecar requested.
	 */
	private static final class KeyRevocation {

		private static final long LINK = -1;

		private RevocationOutcome outcome = RevocationOutcome.UNKNOWN;

	}

}
