package dev.laneworks.core.follow;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import dev.laneworks.core.routing.Rendezvous;

/**
 * Shares the watch on a store among the processes of one group, such as a data centre,
 * and among groups.
 * <p>
 * A watcher sends the changes that it reads, and heartbeats, to the other processes of
 * its group. A process that receives updates from a watcher of higher rank stops
 * watching, so that one watcher remains per group. If the watcher falls silent or behind,
 * the others watch the store themselves until one remains again. A group's watcher in
 * turn stops in favour of a higher-ranked watcher of another group and forwards that
 * one's updates to its own group. The number of calls to the store therefore does not
 * grow with the number of groups, and an update between groups is sent to
 * {@value #RECEIVERS_PER_GROUP} processes of each. There is no election: concurrent
 * watchers only cost additional calls. Changes are sent to the own group even where each
 * process watches for itself, so that a process that the store rejects still receives
 * them. It can also request the changes that it missed. Not thread-safe.
 *
 * @since 0.2
 */
public final class SharedWatch {

	/** The interval between heartbeats of a watcher, in milliseconds. */
	public static final long HEARTBEAT_MILLIS = 150;

	/**
	 * The silence after which a watcher is considered failed, in milliseconds; tolerates
	 * the loss of two heartbeats.
	 */
	private static final long WATCHER_TIMEOUT_MILLIS = 480;

	/**
	 * The fewest other processes with which the watch is shared. In a smaller group the
	 * calls saved do not outweigh the delay of detecting a failed watcher.
	 */
	private static final int MIN_OTHERS = 3;

	/**
	 * The number of processes of each other group that receive a watcher's updates: the
	 * one that forwards them, and its successor.
	 */
	public static final int RECEIVERS_PER_GROUP = 2;

	/** The key by which the watchers of all groups are ranked. */
	static final String ALL_GROUPS = "all groups";

	private static final long ALL_GROUPS_KEY = Rendezvous.hash(ALL_GROUPS);

	/** The shortest time between two requests for missed changes, in milliseconds. */
	private static final long REQUEST_INTERVAL_MILLIS = 300;

	/**
	 * The most changes kept to answer requests.
	 */
	private static final int MAX_RECORDED = 200;

	private final String instance;

	private final String group;

	private final long groupKey;

	private final Consumer<StoreUpdate> localSender;

	private final Consumer<StoreUpdate> remoteSender;

	private final IntSupplier otherCount;

	/** The processes of this group that watch the store or forward updates, by name. */
	private final Map<String, LastUpdate> localWatchers = new HashMap<>();

	/** The processes of other groups that watch the store themselves, by name. */
	private final Map<String, LastUpdate> remoteWatchers = new HashMap<>();

	/**
	 * The newest change of each key that this process read or received, complete from
	 * {@code recordedFrom} to {@code recordedTo}, in the order of their revisions.
	 */
	private final Map<String, StoreChange> recorded = new LinkedHashMap<>();

	private long recordedFrom;

	private long recordedTo = -1;

	private long requestedAt = Long.MIN_VALUE / 2;

	/**
	 * Create the part of one process.
	 * @param instance the name of the process
	 * @param group the name of its group
	 * @param otherCount returns the number of other known processes of the group
	 * @param localSender sends an update to the other processes of the group
	 * @param remoteSender sends an update to the {@link #RECEIVERS_PER_GROUP} processes
	 * of each other group with the highest {@link #rank}
	 */
	public SharedWatch(String instance, String group, IntSupplier otherCount, Consumer<StoreUpdate> localSender,
			Consumer<StoreUpdate> remoteSender) {
		this.instance = Objects.requireNonNull(instance, "instance must not be null");
		this.group = Objects.requireNonNull(group, "group must not be null");
		this.groupKey = Rendezvous.hash(group);
		this.otherCount = otherCount;
		this.localSender = localSender;
		this.remoteSender = remoteSender;
	}

	/**
	 * Return the rank of a process in its group, by rendezvous hashing.
	 * @param group the name of the group
	 * @param instance the name of the process
	 * @return the rank, to be compared as unsigned; the process with the highest one
	 * watches the store or forwards updates
	 */
	public static long rank(String group, String instance) {
		return Rendezvous.weight(Rendezvous.hash(group), instance);
	}

	/**
	 * Record that another process watches the store or forwards updates. Of other groups
	 * only watchers are recorded: two processes that forward each other's updates would
	 * both depend on each other.
	 * @param update the update received from it
	 * @param now the current time in milliseconds
	 */
	public void recordUpdate(StoreUpdate update, long now) {
		if (update.sender().equals(this.instance)) {
			return;
		}
		if (isFromOwnGroup(update)) {
			this.localWatchers.put(update.sender(), new LastUpdate(update.to(), now));
		}
		else if (update.kind() == StoreUpdate.Kind.READ) {
			this.remoteWatchers.put(update.sender(), new LastUpdate(update.to(), now));
		}
	}

	/**
	 * Determine whether enough other processes depend on this process's watch, so that it
	 * has to detect a silent store early.
	 * @return {@code true} if the group is large enough to share a watch
	 */
	public boolean isShared() {
		return this.otherCount.getAsInt() >= MIN_OTHERS;
	}

	/**
	 * Determine whether another process watches the store for this one, so that it makes
	 * no calls itself.
	 * @param revision the revision known to this process
	 * @param now the current time in milliseconds
	 * @return {@code false} if there is no watcher of higher rank, or if it is behind
	 */
	public boolean isServedByOther(long revision, long now) {
		if (!isShared()) {
			return false;
		}
		return isAnyRankedHigher(this.localWatchers, this.groupKey, revision, now)
				|| isAnyRankedHigher(this.remoteWatchers, ALL_GROUPS_KEY, revision, now);
	}

	/**
	 * Determine whether this process is the one that sends updates to its group, as a
	 * watcher or by forwarding.
	 * @param now the current time in milliseconds
	 * @return {@code false} if one of higher rank does, or if the group is small
	 */
	public boolean isGroupSender(long now) {
		return isShared() && !isAnyRankedHigher(this.localWatchers, this.groupKey, Long.MIN_VALUE, now);
	}

	private boolean isAnyRankedHigher(Map<String, LastUpdate> watchers, long key, long revision, long now) {
		watchers.values().removeIf((w) -> now - w.at > WATCHER_TIMEOUT_MILLIS);
		long own = Rendezvous.weight(key, this.instance);
		return watchers.entrySet()
			.stream()
			.anyMatch((w) -> w.getValue().revision >= revision
					&& Long.compareUnsigned(Rendezvous.weight(key, w.getKey()), own) > 0);
	}

	private boolean isFromOwnGroup(StoreUpdate update) {
		return update.group().equals(this.group);
	}

	/**
	 * Request the changes after a revision from other processes, because the store is
	 * unreachable. Requests are rate-limited.
	 * @param revision the revision known to this process
	 * @param now the current time in milliseconds
	 */
	public void requestMissed(long revision, long now) {
		if (now - this.requestedAt >= REQUEST_INTERVAL_MILLIS) {
			this.requestedAt = now;
			this.localSender.accept(createUpdate(revision, revision, List.of(), false, StoreUpdate.Kind.REQUEST));
		}
	}

	/**
	 * Create the answer to another process's request for missed changes.
	 * @param request the request
	 * @return the newest change of each key after the revision known to the requester, or
	 * empty if this process does not have them
	 */
	public Optional<StoreUpdate> createAnswer(StoreUpdate request) {
		if (request.kind() != StoreUpdate.Kind.REQUEST || this.recorded.isEmpty() || request.from() < this.recordedFrom
				|| request.from() >= this.recordedTo) {
			return Optional.empty();
		}
		List<StoreChange> missed = this.recorded.values()
			.stream()
			.filter((c) -> c.revision() > request.from())
			.toList();
		return Optional.of(createUpdate(request.from(), this.recordedTo, missed, false, StoreUpdate.Kind.READ));
	}

	/**
	 * Send the changes that were read to other processes.
	 * @param from the revision before the changes
	 * @param to the revision after them
	 * @param changes the changes between the two revisions; empty for a heartbeat
	 * @param recovering whether the store was unreachable until recently
	 */
	public void sendChanges(long from, long to, List<StoreChange> changes, boolean recovering) {
		recordChanges(from, to, changes);
		StoreUpdate readUpdate = createUpdate(from, to, changes, recovering, StoreUpdate.Kind.READ);
		if (isShared() || !changes.isEmpty()) {
			this.localSender.accept(readUpdate);
		}
		if (isShared()) {
			this.remoteSender.accept(readUpdate);
		}
	}

	/**
	 * Send the differences that a read of all items found to other processes. They apply
	 * without the changes before them, so that a process that cannot reach the store is
	 * notified of a draining target that no watch reported.
	 * @param at the revision that was read
	 * @param missed the differences; if empty, nothing is sent
	 * @param recovering whether the store was unreachable until recently
	 */
	public void sendMissed(long at, List<StoreChange> missed, boolean recovering) {
		if (missed.isEmpty()) {
			return;
		}
		StoreUpdate missedUpdate = createUpdate(at, at, missed, recovering, StoreUpdate.Kind.READ);
		this.localSender.accept(missedUpdate);
		if (isShared()) {
			this.remoteSender.accept(missedUpdate);
		}
	}

	/**
	 * Forward an update from a watcher of another group to the own group, if this process
	 * is the one that forwards.
	 * @param received the update
	 * @param now the current time in milliseconds
	 */
	public void forward(StoreUpdate received, long now) {
		boolean isFromWatcher = !isFromOwnGroup(received) && received.kind() == StoreUpdate.Kind.READ;
		if (isFromWatcher && !received.changes().isEmpty() && isGroupSender(now)) {
			if (received.to() != this.recordedTo) {
				recordChanges(received.from(), received.to(), received.changes());
			}
			this.localSender.accept(createUpdate(received.from(), received.to(), received.changes(),
					received.recovering(), StoreUpdate.Kind.FORWARDED));
		}
	}

	/**
	 * Send a heartbeat to the own group to report that the watcher of another group is
	 * still alive, if this process is the one that forwards.
	 * @param revision the revision known to this process
	 * @param now the current time in milliseconds
	 */
	public void forwardHeartbeat(long revision, long now) {
		if (isGroupSender(now)) {
			this.localSender.accept(createUpdate(revision, revision, List.of(), false, StoreUpdate.Kind.FORWARDED));
		}
	}

	private StoreUpdate createUpdate(long from, long to, List<StoreChange> changes, boolean recovering,
			StoreUpdate.Kind kind) {
		return new StoreUpdate(this.instance, this.group, from, to, changes, recovering, kind);
	}

	/**
	 * Record changes to answer requests from other processes. Changes received from
	 * others are included: where each change arrives first from a different process, none
	 * has read them all.
	 * @param from the revision before the changes
	 * @param to the revision after them
	 * @param changes all changes between the two revisions
	 */
	void recordChanges(long from, long to, List<StoreChange> changes) {
		if (from != this.recordedTo) {
			this.recorded.clear();
			this.recordedFrom = from;
		}
		this.recordedTo = to;
		changes.forEach(this::recordNewest);
		Iterator<StoreChange> oldest = this.recorded.values().iterator();
		for (int i = this.recorded.size(); i > MAX_RECORDED; i--) {
			this.recordedFrom = oldest.next().revision();
			oldest.remove();
		}
	}

	// Earlier changes of a key are dropped: they are obsolete, and those of a plan are
	// large.
	private void recordNewest(StoreChange change) {
		StoreChange known = this.recorded.get(change.key());
		if (known == null || known.revision() < change.revision()) {
			this.recorded.remove(change.key());
			this.recorded.put(change.key(), change);
		}
	}

	private record LastUpdate(long revision, long at) {

	}

}
