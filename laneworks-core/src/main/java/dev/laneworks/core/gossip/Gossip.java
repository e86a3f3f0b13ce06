package dev.laneworks.core.gossip;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.routing.Rendezvous;
import dev.laneworks.core.time.Timers;

/**
 * Tells other entries of this one's work at targets, and sums up theirs.
 * <p>
 * News carry all of an entry's work, so that a lost or late one is made good by the next.
 * Entries find each other through a few seeds and pass on the addresses that they have
 * heard from. An entry that falls silent counts as gone, with its work: its connections
 * to targets end with it. Nothing here is shared state: each entry's word is its own,
 * ages, and serves as a hint for placing work. Not thread-safe.
 *
 * @since 0.2
 */
public final class Gossip {

	private final GossipSettings settings;

	private final String instance;

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
	 * @param ownAddress where it hears news, {@code IP:PORT}
	 * @param seeds addresses of entries that may exist
	 * @param outputs sends news and tells of the own work
	 * @param timers what is due later
	 * @param random the source of the incarnation and of choices among peers
	 * @param audit hears of entries that come and go
	 */
	public Gossip(GossipSettings settings, String instance, String ownAddress, Set<String> seeds, GossipOutputs outputs,
			Timers timers, RandomGenerator random, AuditSink audit) {
		this.settings = settings;
		this.instance = instance;
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
		tell(List.copyOf(this.peers.keySet()), now);
	}

	/**
	 * Take that the own work changed.
	 * @param isUrgent whether others wait for this change
	 * @param now the time in milliseconds
	 */
	public void changed(boolean isUrgent, long now) {
		if (isUrgent && !this.tellsOfMoving) {
			this.tellsOfMoving = true;
			this.timers.at(now + this.settings.movingMillis(), this::tellOfMoving);
		}
		long due = isUrgent ? now : Math.max(now, this.toldAt + this.settings.gapMillis());
		if (this.ending || due >= this.tellDue) {
			return;
		}
		this.tellDue = due;
		this.timers.at(due, (t) -> {
			if (this.tellDue <= t && !this.ending) {
				this.tellDue = Long.MAX_VALUE;
				tell(someOf(List.copyOf(this.peers.keySet()), this.settings.fanOut()), t);
			}
		});
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
		if (known != null && known.news.incarnation() == news.incarnation()
				&& known.news.sequence() >= news.sequence()) {
			return;
		}
		if (news.ending()) {
			forget(from, "it ends");
			return;
		}
		if (known != null && known.news.incarnation() != news.incarnation()) {
			this.departed.add(known);
		}
		this.peers.put(from, new Peer(news, now));
		sumUp();
		if (known == null) {
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, news.instance(), "", "entry heard at " + from));
			tell(List.of(from), now);
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
		return Optional.of(this.sums.getOrDefault(target, new WorkAtTarget(target, 0, 0, 0, 0, false)));
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
		this.departed.removeIf((p) -> now - p.heardAt > windowMillis);
		if (this.peers.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(Stream.concat(this.peers.values().stream(), this.departed.stream())
			.flatMap((p) -> p.news.spending().stream())
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
			Optional<WorkAtTarget> work = peer.news.at(target);
			boolean hasClaim = work.filter((w) -> w.copying() || w.toMove() > 0).isPresent();
			if (hasClaim && now - peer.heardAt > this.settings.turnMillis()) {
				continue;
			}
			boolean isBefore = Long.compareUnsigned(Rendezvous.weight(key, peer.news.instance()), own) > 0;
			if (work.filter(WorkAtTarget::copying).isPresent() || (isBefore
					&& (sinceNotice < this.settings.newsMillis() || work.filter((w) -> w.toMove() > 0).isPresent()))) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Return whether any other entry copies a generation now.
	 * @return whether a copy is under way anywhere, as far as is known
	 */
	public boolean isAnyCopying() {
		return this.sums.values().stream().anyMatch(WorkAtTarget::copying);
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
			if (now - peer.getValue().heardAt > this.settings.silenceMillis()) {
				forget(peer.getKey(), "silent for " + (now - peer.getValue().heardAt) + " ms");
			}
		}
		List<String> told = new ArrayList<>(this.peers.keySet());
		this.seeds.stream().filter((s) -> !this.peers.containsKey(s) && !s.equals(this.ownAddress)).forEach(told::add);
		tell(told, now);
		this.timers.at(now + this.settings.heartbeatMillis(), this::heartbeat);
	}

	// Tells others that this entry is awake while they wait for its copies.
	private void tellOfMoving(long now) {
		boolean isMoving = this.outputs.ownWork().stream().anyMatch((w) -> w.copying() || w.toMove() > 0);
		this.tellsOfMoving = isMoving && !this.ending;
		if (!this.tellsOfMoving) {
			return;
		}
		if (now - this.toldAt >= this.settings.movingMillis()) {
			tell(someOf(List.copyOf(this.peers.keySet()), this.settings.fanOut()), now);
		}
		this.timers.at(now + this.settings.movingMillis(), this::tellOfMoving);
	}

	private void introduce(List<String> addresses, long now) {
		for (String address : addresses) {
			if (!this.peers.containsKey(address) && !address.equals(this.ownAddress)) {
				tell(List.of(address), now);
			}
		}
	}

	private void tell(List<String> addresses, long now) {
		this.toldAt = now;
		this.sequence++;
		List<String> heard = someOf(List.copyOf(this.peers.keySet()), this.settings.introductions());
		EntryNews news = new EntryNews(this.instance, this.incarnation, this.sequence, this.ending,
				this.outputs.ownWork(), this.outputs.ownSpending(), heard);
		addresses.forEach((a) -> this.outputs.send(a, news));
	}

	private void forget(String address, String cause) {
		Peer peer = this.peers.remove(address);
		if (peer != null) {
			this.departed.add(peer);
			sumUp();
			this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, peer.news.instance(), "", "entry gone: " + cause));
		}
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

	private void sumUp() {
		this.sums.clear();
		for (Peer peer : this.peers.values()) {
			peer.news.work().forEach((w) -> this.sums.merge(w.target(), w, WorkAtTarget::plus));
		}
	}

	private record Peer(EntryNews news, long heardAt) {

	}

}
