package dev.laneworks.entry.direct;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.backpressure.TargetBackpressure;
import dev.laneworks.core.budget.RetryLending;
import dev.laneworks.core.budget.RetryLoan;
import dev.laneworks.core.budget.RetryLoanRequest;
import dev.laneworks.core.budget.SharedRetryBudget;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.dispatch.CopyCoordination;
import dev.laneworks.core.dispatch.EntryRanks;
import dev.laneworks.core.dispatch.TargetEstimates;
import dev.laneworks.core.follow.SharedWatch;
import dev.laneworks.core.follow.StoreUpdate;
import dev.laneworks.core.gossip.BackpressureUpdate;
import dev.laneworks.core.gossip.Gossip;
import dev.laneworks.core.gossip.GossipOutputs;
import dev.laneworks.core.gossip.GossipSettings;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.gossip.RetryBudgetUsage;
import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.gossip.UpdateScope;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.handover.SnapshotChunk;
import dev.laneworks.core.handover.SnapshotRequest;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.poison.PartObservation;
import dev.laneworks.core.poison.SuspectReport;
import dev.laneworks.core.waiting.PeerDemand;
import dev.laneworks.wire.GossipListener;
import dev.laneworks.wire.GossipSocket;

/**
 * Connection of this entry to the other entries.
 * <p>
 * Carries gossip updates over the network, coordinates copies of generations, shares
 * updates of the platform's store within the data centre, and transfers snapshots. Used
 * on the I/O thread alone, except for {@link #listen} and {@link #count()}.
 */
final class PeerEntries implements GossipOutputs, CopyCoordination, EntryRanks, PeerDemand, RetryLending.Outputs {

	/** The number of entries that a request for missed store changes is sent to. */
	private static final int REQUEST_RECEIVERS = 2;

	private final Mechanisms mechanisms;

	private final String ownAddress;

	private final TargetEstimates estimates;

	private final SharedRetryBudget retryBudget;

	private final EventLoop loop;

	private final Gossip gossip;

	private final RetryLending lending;

	private final SharedWatch watch;

	/** Addresses at which entries may receive gossip. */
	private final Set<String> seeds;

	private Consumer<StoreUpdate> storeUpdateListener = (u) -> {
	};

	private Consumer<TargetIncarnation> drainingListener = (t) -> {
	};

	private Consumer<SuspectReport> suspectListener = (r) -> {
	};

	private Consumer<List<PartObservation>> partListener = (o) -> {
	};

	private Predicate<TargetIncarnation> listed = (t) -> false;

	private Supplier<List<ServiceDemand>> demand = List::of;

	private Optional<TargetBackpressure> backpressure = Optional.empty();

	private Optional<SnapshotTransfer> snapshots = Optional.empty();

	/** Opened by the main thread before anything is sent on the I/O thread. */
	private volatile GossipSocket socket;

	PeerEntries(DirectSettings settings, TargetEstimates estimates, SharedRetryBudget retryBudget, EventLoop loop,
			RandomGenerator random, AuditSink audit) {
		this.mechanisms = settings.mechanisms();
		this.ownAddress = addressText(settings.gossipAddress());
		this.estimates = estimates;
		this.retryBudget = retryBudget;
		this.loop = loop;
		this.seeds = seeds(settings);
		this.gossip = new Gossip(GossipSettings.defaults(), settings.instance(), settings.dataCentre(), this.ownAddress,
				this.seeds, this, loop.timers(), random, audit);
		this.watch = new SharedWatch(settings.instance(), settings.dataCentre(), this::sharingPeers,
				(u) -> sendStoreUpdate(localReceivers(u, random), u), (u) -> sendStoreUpdate(
						this.gossip.topOfOtherDataCentres(SharedWatch.RECEIVERS_PER_GROUP, SharedWatch::rank), u));
		this.lending = new RetryLending(retryBudget, this::findLenders, this, random);
		if (this.mechanisms.isEnabled(Mechanism.ENTRY_NEWS)) {
			estimates.onChange(
					(target, change) -> this.gossip.workChanged(target.incarnation(), updateScope(change), loop.now()));
		}
	}

	// Started requests are announced widely: with the regular gossip interval, entries of
	// other data centres would all select the same idle engine meanwhile.
	private static UpdateScope updateScope(TargetEstimates.Change change) {
		return switch (change) {
			case URGENT -> UpdateScope.INVOLVED;
			case LEAVING -> UpdateScope.ALL;
			case BEGUN -> UpdateScope.SAMPLE;
			case OTHER -> UpdateScope.NEAR;
		};
	}

	// Open the socket unless it is open; to be called before the start.
	void listen(InetSocketAddress address) {
		if (this.socket == null) {
			this.socket = new GossipSocket(address, new Receiver());
		}
	}

	// Return the object that shares watches of the store within the data centre.
	SharedWatch watch() {
		return this.watch;
	}

	// Set the server and fetcher of snapshots.
	void useSnapshotTransfer(SnapshotTransfer transfer) {
		this.snapshots = Optional.of(transfer);
	}

	// Return the addresses of entries that may serve a snapshot.
	List<String> snapshotSources() {
		Set<String> addresses = new HashSet<>(this.seeds);
		addresses.addAll(this.gossip.nearAddresses());
		addresses.remove(this.ownAddress);
		return List.copyOf(addresses);
	}

	void requestSnapshot(String address, SnapshotRequest request) {
		this.socket.send(socketAddress(address), request);
	}

	// Set the listener for store updates read by other entries.
	void onStoreUpdate(Consumer<StoreUpdate> listener) {
		this.storeUpdateListener = listener;
	}

	// Set the listener for other entries' reports of requests during whose execution
	// targets crashed.
	void onSuspect(Consumer<SuspectReport> listener) {
		this.suspectListener = listener;
	}

	// Set the listener for other entries' observations of prompt parts.
	void onPartObservations(Consumer<List<PartObservation>> listener) {
		this.partListener = listener;
	}

	// Return the gossip addresses of all other known entries.
	List<String> addresses() {
		return this.gossip.addresses();
	}

	// The socket is open by then, since no other entry is known before.
	void reportSuspects(Collection<String> addresses, List<SuspectReport> reports) {
		this.socket.sendSuspects(addresses.stream().map(PeerEntries::socketAddress).toList(), reports);
	}

	// The socket is open by then, since no other entry is known before.
	void reportParts(Collection<String> addresses, List<PartObservation> observations) {
		this.socket.sendPartObservations(addresses.stream().map(PeerEntries::socketAddress).toList(), observations);
	}

	void start(long now) {
		if (this.mechanisms.isEnabled(Mechanism.ENTRY_NEWS)) {
			this.gossip.start(now);
		}
	}

	// Tell the other entries that this one ends; without effect before the socket is
	// open.
	void shutDown(long now) {
		if (this.socket != null) {
			this.gossip.shutDown(now);
		}
	}

	// Close the socket, after what was sent, and wait until its thread has stopped.
	void close() {
		if (this.socket != null) {
			this.socket.close();
		}
	}

	// Determine whether this entry is the one that polls the engines of a data centre.
	boolean isProberFor(String dataCentre) {
		return this.gossip.isProber(dataCentre, SharedWatch::rank, this.loop.now());
	}

	// Set the listener for targets that reported to other entries that they are
	// draining.
	void onDraining(Consumer<TargetIncarnation> listener) {
		this.drainingListener = listener;
	}

	// Set the source of shared back-pressure signals and the filter of listed
	// incarnations.
	void shareSignals(TargetBackpressure shared, Predicate<TargetIncarnation> isListed) {
		this.backpressure = Optional.of(shared);
		this.listed = isListed;
	}

	// Announce the back-pressure signals of a target to all other entries at once.
	void announceSignals(TargetIncarnation target) {
		if (this.mechanisms.isEnabled(Mechanism.ENTRY_NEWS)) {
			this.gossip.workChanged(target, UpdateScope.ALL, this.loop.now());
		}
	}

	// Return the number of other known entries.
	int count() {
		return this.gossip.peerCount();
	}

	// Return the time since any entry of a data centre was heard; 0 if none ever was.
	long silentMillis(String dataCentre, long now) {
		return this.gossip.silentMillis(dataCentre, now);
	}

	// Return the other entries' work at a target; empty while no other entry is known.
	Optional<WorkAtTarget> workAt(TargetIncarnation target) {
		return this.gossip.workOfOthers(target);
	}

	// Return the addresses of the entries with most retries to spare, by their latest
	// updates.
	private List<String> findLenders(String service, int max) {
		if (!this.mechanisms.isEnabled(Mechanism.SHARED_BUDGET)) {
			return List.of();
		}
		return this.gossip.budgetUsageByEntry(service)
			.entrySet()
			.stream()
			.sorted(Comparator.comparingDouble((e) -> -this.retryBudget.spare(e.getValue())))
			.limit(max)
			.map(Map.Entry::getKey)
			.toList();
	}

	// Return the other entries' use of the retry budget; empty while no other entry is
	// known.
	Optional<RetryBudgetUsage> budgetUsage(String service, long windowMillis, long now) {
		return this.gossip.budgetUsageOfOthers(service, windowMillis, now);
	}

	@Override
	public int entries() {
		return this.gossip.peerCount() + 1;
	}

	// Return the position of this entry in the order of entries for a target, from 0 to
	// 1.
	double phase(String target) {
		return (rankFor(target) + 0.5) / entries();
	}

	@Override
	public ServiceDemand demandOfOthers(String service) {
		return this.gossip.demandOfOthers(service);
	}

	@Override
	public ServiceDemand demandNearby(String service) {
		return this.gossip.demandNearby(service);
	}

	@Override
	public int rankFor(String target) {
		return this.gossip.rankFor(target);
	}

	@Override
	public boolean isOwnTurn(ListedTarget source, long sinceNotice, long now) {
		return !this.mechanisms.isEnabled(Mechanism.COPY_TURNS)
				|| this.gossip.mayStartMove(source.incarnation(), sinceNotice, now);
	}

	@Override
	public boolean areLinksIdle(ListedTarget source, ListedTarget destination) {
		return !this.gossip.isCopying(source.incarnation()) && !this.gossip.isCopying(destination.incarnation());
	}

	@Override
	public void send(String address, LoadUpdate update) {
		this.socket.send(socketAddress(address), update);
	}

	@Override
	public void send(String address, RetryLoanRequest request) {
		this.socket.send(socketAddress(address), request);
	}

	@Override
	public void send(String address, RetryLoan loan) {
		this.socket.send(socketAddress(address), loan);
	}

	@Override
	public void targetDraining(TargetIncarnation target) {
		this.drainingListener.accept(target);
	}

	@Override
	public void signalsReceived(BackpressureUpdate signals) {
		this.backpressure.ifPresent((b) -> b.recordGossiped(signals, this.listed, this.loop.now()));
	}

	@Override
	public BackpressureUpdate signals() {
		return this.backpressure.map((b) -> b.signals(this.loop.now())).orElse(BackpressureUpdate.NONE);
	}

	@Override
	public void speedsReceived(List<WorkAtTarget> work) {
		long now = this.loop.now();
		work.forEach((w) -> w.speed().ifPresent((s) -> this.estimates.mergeSpeed(w.target(), s, now)));
	}

	@Override
	public List<WorkAtTarget> localWork() {
		return this.estimates.localWork(this.loop.now());
	}

	@Override
	public List<RetryBudgetUsage> ownBudgetUsage() {
		return this.retryBudget.usage(this.loop.now());
	}

	@Override
	public List<ServiceDemand> localDemand() {
		return this.demand.get();
	}

	// Set the source of the demand that this entry could not serve yet.
	void useDemand(Supplier<List<ServiceDemand>> source) {
		this.demand = source;
	}

	private static Set<String> seeds(DirectSettings settings) {
		return settings.seeds()
			.stream()
			.map((a) -> a.substring(0, a.lastIndexOf(':') + 1) + settings.gossipAddress().getPort())
			.collect(Collectors.toSet());
	}

	private void handleStoreUpdate(String from, StoreUpdate update) {
		if (update.kind() == StoreUpdate.Kind.REQUEST) {
			this.watch.createAnswer(update).ifPresent((a) -> this.socket.send(List.of(socketAddress(from)), a));
			return;
		}
		this.watch.recordUpdate(update, this.loop.now());
		this.storeUpdateListener.accept(update);
	}

	private int sharingPeers() {
		return this.mechanisms.isEnabled(Mechanism.SHARED_READING) ? this.gossip.sameDataCentre().size() : 0;
	}

	// A request is answered with all missed changes, so that only a few entries receive
	// it.
	private List<String> localReceivers(StoreUpdate update, RandomGenerator random) {
		List<String> near = new ArrayList<>(this.gossip.nearAddresses());
		if (update.kind() != StoreUpdate.Kind.REQUEST) {
			return near;
		}
		Collections.shuffle(near, new Random(random.nextLong()));
		return near.subList(0, Math.min(REQUEST_RECEIVERS, near.size()));
	}

	// Has no effect before the socket is open.
	private void sendStoreUpdate(List<String> addresses, StoreUpdate update) {
		if (this.socket != null && !addresses.isEmpty()) {
			this.socket.send(addresses.stream().map(PeerEntries::socketAddress).toList(), update);
		}
	}

	private static InetSocketAddress socketAddress(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private static String addressText(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ':' + address.getPort();
	}

	/** Passes messages of other entries to the I/O thread. */
	private final class Receiver implements GossipListener {

		@Override
		public void loadUpdateReceived(String from, LoadUpdate update) {
			PeerEntries.this.loop
				.run(() -> PeerEntries.this.gossip.handleUpdate(from, update, PeerEntries.this.loop.now()));
		}

		@Override
		public void storeUpdateReceived(String from, StoreUpdate update) {
			PeerEntries.this.loop.run(() -> handleStoreUpdate(from, update));
		}

		@Override
		public void snapshotRequested(String from, SnapshotRequest request) {
			PeerEntries.this.loop.run(() -> PeerEntries.this.snapshots.stream()
				.flatMap((s) -> s.answer(request, PeerEntries.this.loop.now()).stream())
				.forEach((c) -> PeerEntries.this.socket.send(socketAddress(from), c)));
		}

		@Override
		public void suspectsReported(List<SuspectReport> reports) {
			PeerEntries.this.loop.run(() -> reports.forEach(PeerEntries.this.suspectListener));
		}

		@Override
		public void partsObserved(List<PartObservation> observations) {
			PeerEntries.this.loop.run(() -> PeerEntries.this.partListener.accept(observations));
		}

		@Override
		public void loanRequested(String from, RetryLoanRequest request) {
			PeerEntries.this.loop
				.run(() -> PeerEntries.this.lending.loanRequested(from, request, PeerEntries.this.loop.now()));
		}

		@Override
		public void loanReceived(RetryLoan loan) {
			PeerEntries.this.loop.run(() -> PeerEntries.this.lending.loanReceived(loan, PeerEntries.this.loop.now()));
		}

		@Override
		public void chunkReceived(String from, SnapshotChunk chunk) {
			PeerEntries.this.loop.run(() -> PeerEntries.this.snapshots
				.ifPresent((s) -> s.received(from, chunk, PeerEntries.this.loop.now())));
		}

	}

}
