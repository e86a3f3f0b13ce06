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
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.time.Timers;

/**
 * Tells other entries of this one's work at targets and of what targets say that they
 * need, and sums up theirs.
 * <p>
 * Every heartbeat carries all of an entry's work, so that lost or late news are made good
 * by the next; in between, changes are told at once to the entries near by, which use the
 * same targets, and moves to those that work at the same target. Entries find each other
 * through a few seeds and pass on the addresses that they have heard from. An entry that
 * falls silent counts as gone, with its work: its connections to targets end with it.
 * Nothing here is shared state: each entry's word is its own, ages, and serves as a hint
 * for placing work. Not thread-safe.
 *
 * @since 0.2
 */
public final class Gossip {

	/**
	 * For how long an entry's copies away from a target are waited for, in milliseconds;
	 * longer than a whole copy takes between data centres over a free link. One that
	 * waits for its destination's link would hold up the others until their engine ends.
	 */
	private static final long TURN_BOUND_MILLIS = 500;

	private final GossipSettings settings;

	private final String instance;

	private final String dataCentre;

	private final String ownAddress;

	private final Set<String> seeds;

	private final GossipOutputs outputs;

	private final Timers timers;

	private final AuditSink audit;

	private final KnownEntries known = new KnownEntries();

	private final Audience audience;

	private final OwnNews ownNews;

	/** The targets at which the own work changed since changes were told last. */
	private final Set<TargetRun> changed = new HashSet<>();

	/** The widest reach of a change that was not told yet. */
	private ChangeReach reach = ChangeReach.NEAR;

	private List<ServiceSpending> spendingTold = List.of();

	private int beats;

	private long toldAt = Long.MIN_VALUE / 2;

	private long tellDue = Long.MAX_VALUE;

	/** Whether others are told at short intervals while they wait for this entry. */
	private boolean tellsOfMoving;

	/**
	 * Create an entry's part of the gossip.
	 * @param settings its times and bounds
	 * @param instance the entry's name
	 * @param dataCentre the data centre that it is in
	 * @param ownAddress where it hears news, {@code IP:PORT}
	 * @param seeds addresses of entries that may exist
	 * @param outputs sends news and tells of the own work
	 * @param timers what is due later
	 * @param random the source of the incarnation and of choices among peers
	 * @param audit hears of entries that come and go
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
		this.ownNews = new OwnNews(instance, dataCentre, random.nextLong(), outputs);
		this.audience = new Audience(settings, dataCentre, this.known, random);
	}

	/**
	 * Start to tell and to look for entries that fall silent.
	 * @param now the time in milliseconds
	 */
	public void start(long now) {
		heartbeat(now);
	}

	/**
	 * Tell all entries that this one ends, and no more after it.
	 * @param now the time in milliseconds
	 */
	public void end(long now) {
		this.ownNews.end();
		tellAllWork(this.known.addresses(), now);
	}

	/**
	 * Take that the own work at a target changed.
	 * @param target the run of the target
	 * @param heardBy who is to hear of it
	 * @param now the time in milliseconds
	 */
	public void changed(TargetRun target, ChangeReach heardBy, long now) {
		if (this.ownNews.isEnding()) {
			return;
		}
		this.changed.add(target);
		boolean isUrgent = heardBy == ChangeReach.CONCERNED;
		if (isUrgent && !this.tellsOfMoving) {
			this.tellsOfMoving = true;
			this.timers.at(now + this.settings.movingMillis(), this::tellOfMoving);
		}
		this.reach = (heardBy.compareTo(this.reach) > 0) ? heardBy : this.reach;
		long due = isUrgent ? now : Math.max(now, this.toldAt + this.settings.gapMillis());
		if (due < this.tellDue) {
			this.tellDue = due;
			this.timers.at(due, this::tellChanges);
		}
	}

	/**
	 * Take another entry's news.
	 * @param from the address that they came from
	 * @param news the news
	 * @param now the time in milliseconds
	 */
	public void received(String from, EntryNews news, long now) {
		Optional<Peer> former = this.known.at(from);
		if (this.ownNews.isAuthorOf(news) || former.filter((p) -> !p.isReplacedBy(news)).isPresent()) {
			return;
		}
		if (news.ending()) {
			forget(from, "it ends");
			return;
		}
		this.known.take(from, news, now);
		news.work().stream().filter(WorkAtTarget::leaving).forEach((w) -> this.outputs.heardLeaving(w.target()));
		this.outputs.heardNeeds(news.needs());
		if (former.isEmpty()) {
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, news.instance(), "", "entry heard at " + from));
			tellAllWork(List.of(from), now);
		}
		introduce(news.peers(), now);
	}

	/**
	 * Return the work that other entries have at a target.
	 * @param target the run of the target
	 * @return the sum; empty while no other entry is known, and zero if they have none
	 */
	public Optional<WorkAtTarget> others(TargetRun target) {
		return (this.known.size() > 0) ? Optional.of(this.known.workAt(target)) : Optional.empty();
	}

	/**
	 * Return what other entries spent of the retry budget, those that went lately
	 * included.
	 * @param service the service's name
	 * @param windowMillis the budget's window, in milliseconds
	 * @param now the time in milliseconds
	 * @return the sum; empty while no other entry is known
	 */
	public Optional<ServiceSpending> spendingOfOthers(String service, long windowMillis, long now) {
		return this.known.spending(service, windowMillis, now);
	}

	/**
	 * Return whether this entry may copy a generation away from a target now.
	 * <p>
	 * A copy under way is not disturbed; otherwise the entries that have generations to
	 * move go by rank. Every entry ranks the entries alike for a target, and otherwise
	 * for another target. Entries hear of a leaving at about the same time; until their
	 * news have had time to arrive, only the first of all may go. An entry that has been
	 * silent for a few tellings is paused or gone, and one whose copies take long waits
	 * for some other link; others don't wait for them.
	 * @param target the run of the target
	 * @param sinceNotice how long ago the target's leaving was heard, in milliseconds
	 * @param now the time in milliseconds
	 * @return whether it is this entry's turn
	 */
	public boolean isFirstToMove(TargetRun target, long sinceNotice, long now) {
		long key = Rendezvous.hash(target.id());
		long own = Rendezvous.weight(key, this.instance);
		for (Peer peer : this.known.all().values()) {
			Optional<WorkAtTarget> work = peer.at(target);
			boolean hasClaim = work.filter((w) -> w.copying() || w.toMove() > 0).isPresent();
			if (hasClaim && hasLostTurn(peer, target, now)) {
				continue;
			}
			boolean isBefore = Long.compareUnsigned(Rendezvous.weight(key, peer.news().instance()), own) > 0;
			if (work.filter(WorkAtTarget::copying).isPresent() || (isBefore
					&& (sinceNotice < this.settings.newsMillis() || work.filter((w) -> w.toMove() > 0).isPresent()))) {
				return false;
			}
		}
		return true;
	}

	private boolean hasLostTurn(Peer peer, TargetRun target, long now) {
		return peer.silence(now) > this.settings.turnMillis() || peer.copyingFor(target, now) > TURN_BOUND_MILLIS;
	}

	/**
	 * Return how many other entries rank before this one for a target. Entries that know
	 * each other rank themselves alike.
	 * @param target the target's id
	 * @return the count
	 */
	public int before(String target) {
		long key = Rendezvous.hash(target);
		long own = Rendezvous.weight(key, this.instance);
		return (int) this.known.all()
			.values()
			.stream()
			.filter((p) -> Long.compareUnsigned(Rendezvous.weight(key, p.news().instance()), own) > 0)
			.count();
	}

	/**
	 * Return whether any other entry copies a generation from or to a target now.
	 * @param target the run of the target
	 * @return whether a copy is under way there, as far as is known
	 */
	public boolean isCopying(TargetRun target) {
		return this.known.workAt(target).copying();
	}

	/**
	 * Return where the entries near by hear news: all where there are few, and otherwise
	 * those of this data centre.
	 * @return their addresses, as far as they are known
	 */
	public List<String> nearBy() {
		return this.audience.near();
	}

	/**
	 * Return where the other entries of this data centre hear news.
	 * @return their addresses, as far as they are known
	 */
	public List<String> sameDataCentre() {
		return this.audience.sameDataCentre();
	}

	/**
	 * Return whether it is up to this entry to ask the targets of a data centre: to the
	 * first of its entries that is awake, and where it has no entry to the first of all.
	 * @param place the data centre of the targets
	 * @param rank ranks an entry, given a data centre and its name; compared as unsigned
	 * @param now the time in milliseconds
	 * @return {@code false} if another entry asks them, as far as is known
	 */
	public boolean asksIn(String place, ToLongBiFunction<String, String> rank, long now) {
		List<Peer> there = this.known.all().values().stream().filter((p) -> isIn(place, p)).toList();
		if (place.equals(this.dataCentre)) {
			long awake = this.settings.heartbeatMillis() + this.settings.turnMillis();
			return isFirst(place, there.stream().filter((p) -> p.silence(now) <= awake).toList(), rank);
		}
		return there.isEmpty() && isFirst(place, this.known.all().values(), rank);
	}

	private static boolean isIn(String place, Peer peer) {
		return peer.news().dataCentre().equals(place);
	}

	private boolean isFirst(String place, Collection<Peer> others, ToLongBiFunction<String, String> rank) {
		long own = rank.applyAsLong(place, this.instance);
		return others.stream()
			.noneMatch((p) -> Long.compareUnsigned(rank.applyAsLong(place, p.news().instance()), own) > 0);
	}

	/**
	 * Return where the first entries of each other data centre hear news.
	 * @param count how many of each
	 * @param rank ranks an entry, given its data centre and name; compared as unsigned
	 * @return their addresses, as far as they are known
	 */
	public List<String> firstOfOtherDataCentres(int count, ToLongBiFunction<String, String> rank) {
		return this.audience.firstOfOthers(count, rank);
	}

	/**
	 * Return where all other entries hear news.
	 * @return their addresses, as far as they are known
	 */
	public List<String> addresses() {
		return this.known.addresses();
	}

	/**
	 * Return how many other entries are known.
	 * @return the count
	 */
	public int peers() {
		return this.known.size();
	}

	private void heartbeat(long now) {
		if (this.ownNews.isEnding()) {
			return;
		}
		forgetSilent(now);
		this.beats++;
		List<ServiceSpending> spending = this.outputs.ownSpending();
		boolean hasSpent = !spending.equals(this.spendingTold);
		this.spendingTold = spending;
		List<String> near = nearAndSeeds();
		List<String> distant = hasSpent ? this.audience.distant() : this.audience.distantAt(this.beats);
		tellAllWork(near, now);
		send(distant, allWork(this.settings.heartbeatMillis() * this.settings.distantBeats()), now);
		this.timers.at(now + this.settings.heartbeatMillis(), this::heartbeat);
	}

	private void forgetSilent(long now) {
		for (Map.Entry<String, Peer> peer : List.copyOf(this.known.all().entrySet())) {
			if (peer.getValue().isSilent(now)) {
				forget(peer.getKey(), "silent for " + peer.getValue().silence(now) + " ms");
			}
		}
	}

	private void forget(String address, String cause) {
		this.known.remove(address)
			.ifPresent((p) -> this.audit
				.record(AuditEvent.of(AuditKind.MEMBERSHIP, p.news().instance(), "", "entry gone: " + cause)));
	}

	private List<String> nearAndSeeds() {
		List<String> receivers = new ArrayList<>(this.audience.near());
		this.seeds.stream().filter(this::isUnknown).forEach(receivers::add);
		return receivers;
	}

	private boolean isUnknown(String address) {
		return !this.known.contains(address) && !address.equals(this.ownAddress);
	}

	private void tellChanges(long now) {
		if (this.tellDue > now || this.ownNews.isEnding()) {
			return;
		}
		this.tellDue = Long.MAX_VALUE;
		Set<TargetRun> told = Set.copyOf(this.changed);
		send(receivers(told), workAt(told), now);
		this.changed.clear();
		this.reach = ChangeReach.NEAR;
	}

	private Collection<String> receivers(Set<TargetRun> told) {
		return switch (this.reach) {
			case NEAR -> this.audience.someNear();
			case CONCERNED -> this.audience.concernedBy(told);
			case WIDE -> this.audience.wide(told);
			case ALL -> this.known.addresses();
		};
	}

	// Tells others that this entry is awake while they wait for its copies.
	private void tellOfMoving(long now) {
		Set<TargetRun> moving = this.outputs.ownWork()
			.stream()
			.filter((w) -> w.copying() || w.toMove() > 0)
			.map(WorkAtTarget::target)
			.collect(Collectors.toSet());
		this.tellsOfMoving = !moving.isEmpty() && !this.ownNews.isEnding();
		if (this.tellsOfMoving) {
			send(this.audience.concernedBy(moving), workAt(moving), now);
			this.timers.at(now + this.settings.movingMillis(), this::tellOfMoving);
		}
	}

	private void introduce(List<String> addresses, long now) {
		for (String address : addresses) {
			if (isUnknown(address)) {
				tellAllWork(List.of(address), now);
			}
		}
	}

	private void tellAllWork(List<String> addresses, long now) {
		send(addresses, allWork(this.settings.heartbeatMillis()), now);
	}

	private EntryNews allWork(long againMillis) {
		return this.ownNews.ofAllWork(againMillis, this.audience.toIntroduce());
	}

	private EntryNews workAt(Set<TargetRun> targets) {
		return this.ownNews.ofWorkAt(targets, this.settings.heartbeatMillis());
	}

	private void send(Collection<String> addresses, EntryNews news, long now) {
		this.toldAt = now;
		addresses.forEach((a) -> this.outputs.send(a, news));
	}

}
