package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.time.Timers;

/**
 * Tells other entries of this one's work at targets, and sums up theirs.
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

	private final GossipSettings settings;

	private final String instance;

	private final String dataCentre;

	private final long incarnation;

	private final String ownAddress;

	private final Set<String> seeds;

	private final GossipOutputs outputs;

	private final Timers timers;

	private final RandomGenerator random;

	private final AuditSink audit;

	private final Map<String, Peer> peers = new TreeMap<>();

	private final Map<String, WorkAtTarget> sums = new HashMap<>();

	/** The last news of entries that are gone; what they spent counts on for a window. */
	private final List<Peer> departed = new ArrayList<>();

	/** The targets at which the own work changed since changes were told last. */
	private final Set<String> changed = new HashSet<>();

	private boolean urgent;

	private List<ServiceSpending> spendingTold = List.of();

	private int beats;

	private long sequence;

	private long toldAt = Long.MIN_VALUE / 2;

	private long tellDue = Long.MAX_VALUE;

	private boolean ending;

	/** Whether it is looked at short intervals if others wait for this entry. */
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
		this.incarnation = random.nextLong();
		this.ownAddress = ownAddress;
		this.seeds = Set.copyOf(seeds);
		this.outputs = outputs;
		this.timers = timers;
		this.random = random;
		this.audit = audit;
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
		this.ending = true;
		tellAll(List.copyOf(this.peers.keySet()), now);
	}

	/**
	 * Take that the own work at a target changed.
	 * @param target the target's id
	 * @param isUrgent whether others wait for this change
	 * @param now the time in milliseconds
	 */
	public void changed(String target, boolean isUrgent, long now) {
		if (this.ending) {
			return;
		}
		this.changed.add(target);
		if (isUrgent && !this.tellsOfMoving) {
			this.tellsOfMoving = true;
			this.timers.at(now + this.settings.movingMillis(), this::tellOfMoving);
		}
		this.urgent |= isUrgent;
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
		if (news.incarnation() == this.incarnation) {
			return;
		}
		Peer known = this.peers.get(from);
		if (known != null && !known.isOlderThan(news)) {
			return;
		}
		if (news.ending()) {
			forget(from, "it ends");
			return;
		}
		if (known != null && known.isOtherProcess(news)) {
			depart(this.peers.remove(from));
		}
		Peer peer = this.peers.computeIfAbsent(from, (a) -> new Peer());
		sumUp(peer.take(news, now));
		if (known == null) {
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, news.instance(), "", "entry heard at " + from));
			tellAll(List.of(from), now);
		}
		introduce(news.peers(), now);
	}

	/**
	 * Return the work that other entries have at a target.
	 * @param target the target's id
	 * @return the sum; empty while no other entry is known, and zero if they have none
	 */
	public Optional<WorkAtTarget> others(String target) {
		if (this.peers.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(this.sums.getOrDefault(target, WorkAtTarget.none(target)));
	}

	/**
	 * Return what other entries spent of the retry budget, those that went lately
	 * included.
	 * @param service the service's name
	 * @param windowMillis the budget's window
	 * @param now the time in milliseconds
	 * @return the sum; empty while no other entry is known
	 */
	public Optional<ServiceSpending> spendingOfOthers(String service, long windowMillis, long now) {
		this.departed.removeIf((p) -> p.silence(now) > windowMillis);
		if (this.peers.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(Stream.concat(this.peers.values().stream(), this.departed.stream())
			.flatMap((p) -> p.news().spending().stream())
			.filter((s) -> s.service().equals(service))
			.reduce(new ServiceSpending(service, 0, 0), ServiceSpending::plus));
	}

	/**
	 * Return whether this entry may copy a generation away from a target now.
	 * <p>
	 * A copy under way is not disturbed; otherwise the entries that have generations to
	 * move go by rank. Every entry ranks the entries alike for a target, and otherwise
	 * for another target. Entries hear of a leaving at about the same time; until their
	 * news have had time to arrive, only the first of all may go. An entry that has been
	 * silent for a few tellings is paused or gone, and others don't wait for it.
	 * @param target the target's id
	 * @param sinceNotice how long ago the target's leaving was heard, in milliseconds
	 * @param now the time in milliseconds
	 * @return whether it is this entry's turn
	 */
	public boolean isFirstToMove(String target, long sinceNotice, long now) {
		long key = Rendezvous.hash(target);
		long own = Rendezvous.weight(key, this.instance);
		for (Peer peer : this.peers.values()) {
			Optional<WorkAtTarget> work = peer.at(target);
			boolean hasClaim = work.filter((w) -> w.copying() || w.toMove() > 0).isPresent();
			if (hasClaim && peer.silence(now) > this.settings.turnMillis()) {
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

	/**
	 * Return whether any other entry copies a generation from or to a target now.
	 * @param target the target's id
	 * @return whether a copy is under way there, as far as is known
	 */
	public boolean isCopying(String target) {
		return this.sums.getOrDefault(target, WorkAtTarget.none(target)).copying();
	}

	/**
	 * Return where the entries near by hear news: all where there are few, and otherwise
	 * those of this data centre.
	 * @return their addresses, as far as they are known
	 */
	public List<String> nearBy() {
		return this.peers.entrySet().stream().filter((p) -> isNear(p.getValue())).map(Map.Entry::getKey).toList();
	}

	/**
	 * Return where the other entries of this data centre hear news.
	 * @return their addresses, as far as they are known
	 */
	public List<String> sameDataCentre() {
		return this.peers.entrySet()
			.stream()
			.filter((p) -> p.getValue().news().dataCentre().equals(this.dataCentre))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Return how many other entries are known.
	 * @return the count
	 */
	public int peers() {
		return this.peers.size();
	}

	private void heartbeat(long now) {
		if (this.ending) {
			return;
		}
		for (Map.Entry<String, Peer> peer : List.copyOf(this.peers.entrySet())) {
			if (peer.getValue().isSilent(now)) {
				forget(peer.getKey(), "silent for " + peer.getValue().silence(now) + " ms");
			}
		}
		this.beats++;
		List<ServiceSpending> spending = this.outputs.ownSpending();
		boolean hasSpent = !spending.equals(this.spendingTold);
		this.spendingTold = spending;
		List<String> near = new ArrayList<>();
		List<String> distant = new ArrayList<>();
		this.peers.forEach((a, p) -> (isNear(p) ? near : distant).add(a));
		this.seeds.stream().filter((s) -> !this.peers.containsKey(s) && !s.equals(this.ownAddress)).forEach(near::add);
		tellAll(near, now);
		List<String> due = new ArrayList<>();
		for (int i = 0; i < distant.size(); i++) {
			if (hasSpent || (i + this.beats) % this.settings.distantBeats() == 0) {
				due.add(distant.get(i));
			}
		}
		send(due, allWork(this.settings.heartbeatMillis() * this.settings.distantBeats()), now);
		this.timers.at(now + this.settings.heartbeatMillis(), this::heartbeat);
	}

	private void tellChanges(long now) {
		if (this.tellDue > now || this.ending) {
			return;
		}
		this.tellDue = Long.MAX_VALUE;
		Set<String> told = Set.copyOf(this.changed);
		send(this.urgent ? concerned(told) : someNear(), workAt(told), now);
		this.changed.clear();
		this.urgent = false;
	}

	// Tells others that this entry is awake while they wait for its copies.
	private void tellOfMoving(long now) {
		Set<String> moving = this.outputs.ownWork()
			.stream()
			.filter((w) -> w.copying() || w.toMove() > 0)
			.map(WorkAtTarget::target)
			.collect(Collectors.toSet());
		this.tellsOfMoving = !moving.isEmpty() && !this.ending;
		if (this.tellsOfMoving) {
			send(concerned(moving), workAt(moving), now);
			this.timers.at(now + this.settings.movingMillis(), this::tellOfMoving);
		}
	}

	private void introduce(List<String> addresses, long now) {
		for (String address : addresses) {
			if (!this.peers.containsKey(address) && !address.equals(this.ownAddress)) {
				tellAll(List.of(address), now);
			}
		}
	}

	private void tellAll(List<String> addresses, long now) {
		send(addresses, allWork(this.settings.heartbeatMillis()), now);
	}

	private EntryNews allWork(long againMillis) {
		List<String> heard = someOf(List.copyOf(this.peers.keySet()), this.settings.introductions());
		return new EntryNews(this.instance, this.dataCentre, this.incarnation, ++this.sequence, this.ending, false,
				againMillis, this.outputs.ownWork(), this.outputs.ownSpending(), heard);
	}

	// Partial news promise nothing of the next: the last whole ones do.
	private EntryNews workAt(Set<String> targets) {
		Map<String, WorkAtTarget> work = new HashMap<>();
		targets.forEach((t) -> work.put(t, WorkAtTarget.none(t)));
		this.outputs.ownWork()
			.stream()
			.filter((w) -> targets.contains(w.target()))
			.forEach((w) -> work.put(w.target(), w));
		return new EntryNews(this.instance, this.dataCentre, this.incarnation, ++this.sequence, this.ending, true,
				this.settings.heartbeatMillis(), List.copyOf(work.values()), this.outputs.ownSpending(), List.of());
	}

	private void send(Collection<String> addresses, EntryNews news, long now) {
		this.toldAt = now;
		addresses.forEach((a) -> this.outputs.send(a, news));
	}

	// Where there are few entries all of them are near.
	private boolean isNear(Peer peer) {
		return this.peers.size() <= this.settings.fanOut() || peer.news().dataCentre().equals(this.dataCentre);
	}

	private List<String> someNear() {
		List<String> near = new ArrayList<>();
		this.peers.forEach((a, p) -> {
			if (isNear(p)) {
				near.add(a);
			}
		});
		return someOf(near, this.settings.fanOut());
	}

	private Set<String> concerned(Set<String> targets) {
		Set<String> concerned = new HashSet<>(someNear());
		this.peers.forEach((a, p) -> {
			if (p.worksAtAnyOf(targets)) {
				concerned.add(a);
			}
		});
		return concerned;
	}

	private void forget(String address, String cause) {
		Peer peer = this.peers.remove(address);
		if (peer != null) {
			depart(peer);
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, peer.news().instance(), "", "entry gone: " + cause));
		}
	}

	private void depart(Peer peer) {
		this.departed.add(peer);
		sumUp(peer.targets());
	}

	private List<String> someOf(List<String> all, int most) {
		if (all.size() <= most) {
			return all;
		}
		List<String> mixed = new ArrayList<>(all);
		for (int i = 0; i < most; i++) {
			Collections.swap(mixed, i, this.random.nextInt(i, mixed.size()));
		}
		return List.copyOf(mixed.subList(0, most));
	}

	private void sumUp(Set<String> targets) {
		for (String target : targets) {
			Optional<WorkAtTarget> sum = this.peers.values()
				.stream()
				.flatMap((p) -> p.at(target).stream())
				.reduce(WorkAtTarget::plus);
			sum.ifPresentOrElse((s) -> this.sums.put(target, s), () -> this.sums.remove(target));
		}
	}

}
