package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongBiFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.time.Timers;

/**
 * Exchanges load updates and back-pressure signals with other entries and aggregates
 * theirs.
 * <p>
 * Each heartbeat carries all work of an entry, so that it makes up for lost and late
 * updates. Between heartbeats, changes are sent to near entries, which use the same
 * targets, and moves of generations to entries with work at the same target. Entries
 * discover each other through a few seeds and pass on the addresses that they received
 * updates from. An entry that falls silent is removed together with its work, since its
 * connections to targets close with it. The aggregated work is eventually consistent and
 * serves only as a hint for placement. Not thread-safe.
 *
 * @since 0.2
 */
public final class Gossip {

	/**
	 * The longest time to wait for the copies of one entry away from a target, in
	 * milliseconds; longer than a whole copy between data centres takes over an idle
	 * link. A copy that waits for the link of its destination would block the others
	 * until their engine ends.
	 */
	private static final long MAX_TURN_MILLIS = 500;

	private final GossipSettings settings;

	private final String instance;

	private final String dataCentre;

	private final String ownAddress;

	private final Set<String> seeds;

	private final GossipOutputs outputs;

	private final Timers timers;

	private final AuditSink audit;

	private final PeerTable known = new PeerTable();

	private final ReceiverSelector selector;

	private final LoadUpdateWriter updates;

	/** The targets at which the work of this entry changed since the last update. */
	private final Set<TargetIncarnation> changedTargets = new HashSet<>();

	/** The widest reach of a change that was not sent yet. */
	private UpdateScope pendingScope = UpdateScope.NEAR;

	private List<RetryBudgetUsage> lastSentUsage = List.of();

	private int heartbeats;

	private long lastSentAt = Long.MIN_VALUE / 2;

	private long nextSendAt = Long.MAX_VALUE;

	/**
	 * Whether updates are sent at short intervals while other entries wait for this one.
	 */
	private boolean announcesMoves;

	/**
	 * Create the gossip of an entry.
	 * @param settings the intervals and limits
	 * @param instance the name of the entry
	 * @param dataCentre the data centre of the entry
	 * @param ownAddress the address that receives updates, {@code IP:PORT}
	 * @param seeds addresses of entries that may exist
	 * @param outputs sends updates and supplies the work of this entry
	 * @param timers schedules heartbeats and updates
	 * @param random the source of the incarnation and of random choices among peers
	 * @param audit receives an event for each entry that is discovered or removed
	 */
	public Gossip(GossipSettings settings, String instance, String dataCentre, String ownAddress, Set<String> seeds,
			GossipOutputs outputs, Timers timers, RandomGenerator random, AuditSink audit) {
		this.settings = settings;
		this.instance = instance;
		this.dataCentre = dataCentre;
		this.ownAddress = ownAddress;
		this.seeds = Set.copyOf(seeds);
		this.outputs = outputs;
		this.timers = timers;
		this.audit = audit;
		this.updates = new LoadUpdateWriter(instance, dataCentre, random.nextLong(), outputs);
		this.selector = new ReceiverSelector(settings, dataCentre, this.known, random);
	}

	/**
	 * Start to send heartbeats and to remove silent entries.
	 * @param now the current time in milliseconds
	 */
	public void start(long now) {
		heartbeat(now);
	}

	/**
	 * Announce to all entries that this one shuts down, and send no further update.
	 * @param now the current time in milliseconds
	 */
	public void shutDown(long now) {
		this.updates.end();
		sendAllWork(this.known.addresses(), now);
	}

	/**
	 * Record that the work of this entry at a target changed, and schedule an update.
	 * @param target the incarnation of the target
	 * @param requiredScope the entries that must receive the change
	 * @param now the current time in milliseconds
	 */
	public void workChanged(TargetIncarnation target, UpdateScope requiredScope, long now) {
		if (this.updates.isEnding()) {
			return;
		}
		this.changedTargets.add(target);
		boolean isUrgent = requiredScope == UpdateScope.INVOLVED;
		if (isUrgent && !this.announcesMoves) {
			this.announcesMoves = true;
			this.timers.schedule(now + this.settings.moveUpdateMillis(), this::announceMoves);
		}
		this.pendingScope = (requiredScope.compareTo(this.pendingScope) > 0) ? requiredScope : this.pendingScope;
		long due = isUrgent ? now : Math.max(now, this.lastSentAt + this.settings.minUpdateGapMillis());
		if (due < this.nextSendAt) {
			this.nextSendAt = due;
			this.timers.schedule(due, this::sendChanges);
		}
	}

	/**
	 * Handle the update of another entry.
	 * @param from the address of the sender
	 * @param update the load update, complete or partial
	 * @param now the current time in milliseconds
	 */
	public void handleUpdate(String from, LoadUpdate update, long now) {
		Optional<Peer> knownPeer = this.known.at(from);
		if (this.updates.isFromThisProcess(update) || knownPeer.filter((p) -> !p.isReplacedBy(update)).isPresent()) {
			return;
		}
		if (update.shuttingDown()) {
			removePeer(from, "it shuts down");
			return;
		}
		this.known.apply(from, update, now);
		update.work().stream().filter(WorkAtTarget::draining).forEach((w) -> this.outputs.targetDraining(w.target()));
		this.outputs.signalsReceived(update.signals());
		this.outputs.speedsReceived(update.work());
		if (knownPeer.isEmpty()) {
			this.audit
				.record(AuditEvent.of(AuditKind.MEMBERSHIP, update.instance(), "", "entry discovered at " + from));
			sendAllWork(List.of(from), now);
		}
		contactUnknown(update.peers(), now);
	}

	/**
	 * Return the total work of other entries at a target.
	 * @param target the incarnation of the target
	 * @return the sum, which may be zero; empty while no other entry is known
	 */
	public Optional<WorkAtTarget> workOfOthers(TargetIncarnation target) {
		return (this.known.size() > 0) ? Optional.of(this.known.workAt(target)) : Optional.empty();
	}

	/**
	 * Return the time since the latest update from any entry of a data centre.
	 * @param otherDataCentre the name of the data centre
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds; 0 if no entry there was ever known
	 * @since 0.4
	 */
	public long silentMillis(String otherDataCentre, long now) {
		return this.known.silentMillis(otherDataCentre, now);
	}

	/**
	 * Return the total use of the retry budget by other entries, including those that
	 * left within the window.
	 * @param service the name of the service
	 * @param windowMillis the window of the budget, in milliseconds
	 * @param now the current time in milliseconds
	 * @return the sum; empty while no other entry is known
	 */
	public Optional<RetryBudgetUsage> budgetUsageOfOthers(String service, long windowMillis, long now) {
		return this.known.budgetUsage(service, windowMillis, now);
	}

	/**
	 * Return the latest use of the retry budget by each other entry.
	 * @param service the name of the service
	 * @return the use by the address of the entry; no use for entries without requests
	 * @since 0.6
	 */
	public Map<String, RetryBudgetUsage> budgetUsageByEntry(String service) {
		return this.known.budgetUsageByEntry(service);
	}

	/**
	 * Return the total demand of other entries for a service that is not served yet.
	 * @param service the name of the service
	 * @return the sum of all known entries
	 * @since 0.4
	 */
	public ServiceDemand demandOfOthers(String service) {
		return this.known.demand(service, (dataCentre) -> true);
	}

	/**
	 * Return the total demand for a service at the other entries of this data centre,
	 * which compete for the same engines first.
	 * @param service the name of the service
	 * @return the sum of the known entries of the same data centre
	 * @since 0.4
	 */
	public ServiceDemand demandNearby(String service) {
		return this.known.demand(service, this.dataCentre::equals);
	}

	/**
	 * Determine whether this entry may copy a generation away from a target now.
	 * <p>
	 * No copy starts while another one is in progress. Otherwise, entries with
	 * generations to move take turns by a rank that all of them compute alike and that
	 * differs by target. Until the updates of other entries can have arrived, only the
	 * highest-ranked entry may start. Entries that are silent or whose copies take too
	 * long lose their turn.
	 * @param target the incarnation of the target
	 * @param sinceNoticeMillis the time since the target was found to be draining, in
	 * milliseconds
	 * @param now the current time in milliseconds
	 * @return {@code true} if it is the turn of this entry
	 */
	public boolean mayStartMove(TargetIncarnation target, long sinceNoticeMillis, long now) {
		long key = Rendezvous.hash(target.id());
		long own = Rendezvous.weight(key, this.instance);
		for (Peer peer : this.known.all().values()) {
			Optional<WorkAtTarget> work = peer.reportedWork(target);
			boolean hasClaim = work.filter((w) -> w.copying() || w.toMove() > 0).isPresent();
			if (hasClaim && hasLostTurn(peer, target, now)) {
				continue;
			}
			boolean isBefore = Long.compareUnsigned(Rendezvous.weight(key, peer.latest().instance()), own) > 0;
			if (work.filter(WorkAtTarget::copying).isPresent()
					|| (isBefore && (sinceNoticeMillis < this.settings.deliveryMillis()
							|| work.filter((w) -> w.toMove() > 0).isPresent()))) {
				return false;
			}
		}
		return true;
	}

	private boolean hasLostTurn(Peer peer, TargetIncarnation target, long now) {
		return peer.silentMillis(now) > this.settings.maxTurnSilenceMillis()
				|| peer.copyingFor(target, now) > MAX_TURN_MILLIS;
	}

	/**
	 * Return the number of other entries that rank before this one for a target. Entries
	 * that know each other compute the same ranking.
	 * @param target the id of the target
	 * @return the count
	 */
	public int rankFor(String target) {
		long key = Rendezvous.hash(target);
		long own = Rendezvous.weight(key, this.instance);
		return (int) this.known.all()
			.values()
			.stream()
			.filter((p) -> Long.compareUnsigned(Rendezvous.weight(key, p.latest().instance()), own) > 0)
			.count();
	}

	/**
	 * Determine whether another entry is copying a generation from or to a target.
	 * @param target the incarnation of the target
	 * @return {@code true} if a copy is in progress according to the latest updates
	 */
	public boolean isCopying(TargetIncarnation target) {
		return this.known.workAt(target).copying();
	}

	/**
	 * Return the addresses of near entries: all entries in a small fleet, and otherwise
	 * those of the same data centre.
	 * @return the addresses of the known entries
	 */
	public List<String> nearAddresses() {
		return this.selector.near();
	}

	/**
	 * Return the addresses of the other entries of the same data centre.
	 * @return the addresses of the known entries
	 */
	public List<String> sameDataCentre() {
		return this.selector.sameDataCentre();
	}

	/**
	 * Determine whether this entry probes the targets of a data centre. That is the task
	 * of the highest-ranked live entry there and, for a data centre without an entry, of
	 * the highest-ranked entry of all.
	 * @param targetDataCentre the data centre of the targets
	 * @param rank computes the rank of an entry from a data centre and its name; ranks
	 * are compared as unsigned
	 * @param now the current time in milliseconds
	 * @return {@code false} if another known entry probes them
	 */
	public boolean isProber(String targetDataCentre, ToLongBiFunction<String, String> rank, long now) {
		List<Peer> local = this.known.all().values().stream().filter((p) -> isIn(targetDataCentre, p)).toList();
		if (targetDataCentre.equals(this.dataCentre)) {
			long awake = this.settings.heartbeatMillis() + this.settings.maxTurnSilenceMillis();
			return isFirst(targetDataCentre, local.stream().filter((p) -> p.silentMillis(now) <= awake).toList(), rank);
		}
		return local.isEmpty() && isFirst(targetDataCentre, this.known.all().values(), rank);
	}

	private static boolean isIn(String targetDataCentre, Peer peer) {
		return peer.latest().dataCentre().equals(targetDataCentre);
	}

	private boolean isFirst(String targetDataCentre, Collection<Peer> others, ToLongBiFunction<String, String> rank) {
		long own = rank.applyAsLong(targetDataCentre, this.instance);
		return others.stream()
			.noneMatch((p) -> Long.compareUnsigned(rank.applyAsLong(targetDataCentre, p.latest().instance()), own) > 0);
	}

	/**
	 * Return the addresses of the highest-ranked entries of each other data centre.
	 * @param count the number of entries for each data centre
	 * @param rank computes the rank of an entry from its data centre and name; ranks are
	 * compared as unsigned
	 * @return the addresses of the known entries
	 */
	public List<String> topOfOtherDataCentres(int count, ToLongBiFunction<String, String> rank) {
		return this.selector.firstOfOthers(count, rank);
	}

	/**
	 * Return the addresses of all other entries.
	 * @return the addresses of the known entries
	 */
	public List<String> addresses() {
		return this.known.addresses();
	}

	/**
	 * Return the number of other entries.
	 * @return the count of known entries
	 */
	public int peerCount() {
		return this.known.size();
	}

	private void heartbeat(long now) {
		if (this.updates.isEnding()) {
			return;
		}
		removeSilent(now);
		this.heartbeats++;
		List<RetryBudgetUsage> usage = this.outputs.ownBudgetUsage();
		boolean hasSpent = !usage.equals(this.lastSentUsage);
		this.lastSentUsage = usage;
		List<String> near = nearAndUnknownSeeds();
		List<String> distant = hasSpent ? this.selector.distant() : this.selector.distantAt(this.heartbeats);
		sendAllWork(near, now);
		send(distant, allWork(this.settings.heartbeatMillis() * this.settings.distantHeartbeats()), now);
		this.timers.schedule(now + this.settings.heartbeatMillis(), this::heartbeat);
	}

	private void removeSilent(long now) {
		for (Map.Entry<String, Peer> peer : List.copyOf(this.known.all().entrySet())) {
			if (peer.getValue().isSilent(now)) {
				removePeer(peer.getKey(), "silent for " + peer.getValue().silentMillis(now) + " ms");
			}
		}
	}

	private void removePeer(String address, String cause) {
		this.known.remove(address)
			.ifPresent((p) -> this.audit
				.record(AuditEvent.of(AuditKind.MEMBERSHIP, p.latest().instance(), "", "entry gone: " + cause)));
	}

	private List<String> nearAndUnknownSeeds() {
		List<String> receivers = new ArrayList<>(this.selector.near());
		this.seeds.stream().filter(this::isUnknown).forEach(receivers::add);
		return receivers;
	}

	private boolean isUnknown(String address) {
		return !this.known.contains(address) && !address.equals(this.ownAddress);
	}

	private void sendChanges(long now) {
		if (this.nextSendAt > now || this.updates.isEnding()) {
			return;
		}
		this.nextSendAt = Long.MAX_VALUE;
		Set<TargetIncarnation> sent = Set.copyOf(this.changedTargets);
		send(receivers(sent), workAt(sent), now);
		this.changedTargets.clear();
		this.pendingScope = UpdateScope.NEAR;
	}

	private Collection<String> receivers(Set<TargetIncarnation> sent) {
		return switch (this.pendingScope) {
			case NEAR -> this.selector.sampleNear();
			case INVOLVED -> this.selector.concernedBy(sent);
			case SAMPLE -> this.selector.wide(sent);
			case ALL -> this.known.addresses();
		};
	}

	// Keeps this entry from losing its turn while other entries wait for its copies.
	private void announceMoves(long now) {
		Set<TargetIncarnation> moving = this.outputs.localWork()
			.stream()
			.filter((w) -> w.copying() || w.toMove() > 0)
			.map(WorkAtTarget::target)
			.collect(Collectors.toSet());
		this.announcesMoves = !moving.isEmpty() && !this.updates.isEnding();
		if (this.announcesMoves) {
			send(this.selector.concernedBy(moving), workAt(moving), now);
			this.timers.schedule(now + this.settings.moveUpdateMillis(), this::announceMoves);
		}
	}

	private void contactUnknown(List<String> addresses, long now) {
		for (String address : addresses) {
			if (isUnknown(address)) {
				sendAllWork(List.of(address), now);
			}
		}
	}

	private void sendAllWork(List<String> addresses, long now) {
		send(addresses, allWork(this.settings.heartbeatMillis()), now);
	}

	private LoadUpdate allWork(long againMillis) {
		return this.updates.ofAllWork(againMillis, this.selector.peersToAdvertise());
	}

	private LoadUpdate workAt(Set<TargetIncarnation> targets) {
		return this.updates.ofWorkAt(targets, this.settings.heartbeatMillis());
	}

	private void send(Collection<String> addresses, LoadUpdate update, long now) {
		this.lastSentAt = now;
		addresses.forEach((a) -> this.outputs.send(a, update));
	}

}
