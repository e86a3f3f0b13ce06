package dev.laneworks.core.directory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.time.Timers;

/**
 * The targets known to one process, from the list of targets in the store.
 * <p>
 * While the list is unreachable, the last known targets remain. List entries of healthy
 * targets may expire during an outage and are written again soon after it. An entry that
 * is removed within that recovery window therefore counts as gone only at its end. An
 * address belongs to the target that was listed there last.
 * <p>
 * One incarnation of each target is known: the one listed last by the list's revisions. A
 * new incarnation replaces the former one and its recorded state. Late updates about a
 * former incarnation are ignored. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetDirectory {

	/**
	 * How long after an outage of the list an expired entry may still be written again,
	 * in milliseconds. It also bounds how long a draining target is sent requests after
	 * its entry was removed, for which the platform allows about two seconds.
	 */
	private static final long RECOVERY_MILLIS = 1_800;

	/**
	 * How long an entry of an ended incarnation from an older copy of the list is held
	 * back, in milliseconds. By then the list has dropped every entry that is not
	 * renewed, and live targets have written theirs again.
	 */
	private static final long STALE_HOLD_MILLIS = 4_000;

	private final Map<String, ListedTarget> targets = new LinkedHashMap<>();

	/**
	 * Held-back entries of ended incarnations from an older copy of the list, by target
	 * id.
	 */
	private final Map<String, TargetListing> staleEntries = new HashMap<>();

	/** Whether the next read of the complete list returns an older copy. */
	private boolean readingOlderCopy;

	private final Map<String, Long> expiryDeadlines = new HashMap<>();

	/** The ids of the targets whose known incarnation accepts no new requests. */
	private final Set<String> draining = new HashSet<>();

	private final RevisionTracker revisions = new RevisionTracker();

	private final EndedIncarnations endedIncarnations = new EndedIncarnations();

	private final DirectoryListener listener;

	private final Evacuations evacuations;

	private final Timers timers;

	/** Notifications to send once the current batch of changes is applied. */
	private final List<Runnable> pendingNotifications = new ArrayList<>();

	private int batchDepth;

	private long recoveryEndsAt = Long.MIN_VALUE;

	/**
	 * Create an empty directory.
	 * @param listener receives the changes
	 * @param evacuations the data centres and targets that accept no requests
	 * @param timers schedules the end of recovery windows
	 */
	public TargetDirectory(DirectoryListener listener, Evacuations evacuations, Timers timers) {
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
		this.evacuations = Objects.requireNonNull(evacuations, "evacuations must not be null");
		this.timers = Objects.requireNonNull(timers, "timers must not be null");
	}

	/**
	 * Record that the list is reachable again after an outage, which starts a recovery
	 * window. Further calls within the window do not extend it, so that entries removed
	 * after it count as gone at once.
	 * @param now the current time in milliseconds
	 */
	public void storeReachable(long now) {
		if (now >= this.recoveryEndsAt) {
			this.recoveryEndsAt = now + RECOVERY_MILLIS;
		}
	}

	/**
	 * Apply changes of several targets as one batch. The listener is notified once all
	 * are applied, so that no request moves from a draining target to another that drains
	 * in the same batch.
	 * @param changes makes the changes to this directory
	 */
	public void batch(Runnable changes) {
		this.batchDepth++;
		try {
			changes.run();
		}
		finally {
			this.batchDepth--;
		}
		if (this.batchDepth == 0) {
			List<Runnable> due = List.copyOf(this.pendingNotifications);
			this.pendingNotifications.clear();
			due.forEach(Runnable::run);
		}
	}

	/**
	 * Apply a target's list entry of unknown revision.
	 * @param target the target
	 */
	public void put(ListedTarget target) {
		put(new TargetListing(target, TargetListing.UNKNOWN_REVISION));
	}

	/**
	 * Apply a target's list entry.
	 * @param listing the list entry and its revision
	 */
	public void put(TargetListing listing) {
		this.staleEntries.remove(listing.target().id());
		batch(() -> apply(listing, List.copyOf(this.targets.values())));
	}

	private void apply(TargetListing listing, Collection<ListedTarget> known) {
		if (this.revisions.recordIfInOrder(listing.target().id(), listing.revision())) {
			ListedTarget target = withKnownStart(listing.target());
			boolean isKnown = isCurrentIncarnation(target);
			endFormerIncarnation(target);
			if (!isKnown) {
				endFormerAtAddress(new TargetListing(target, listing.revision()), known);
			}
			apply(target);
		}
	}

	// An entry without a start time counts as one of the known incarnation.
	private ListedTarget withKnownStart(ListedTarget listed) {
		return (listed.startMillis().isPresent()) ? listed
				: find(listed.id()).map((k) -> listed.withStartMillis(k.startMillis())).orElse(listed);
	}

	// An address is assigned to another target only after its former one has ended,
	// even if that one is still listed. Of two targets at one address the one listed
	// there later is current, whichever is received first.
	private void endFormerAtAddress(TargetListing listing, Collection<ListedTarget> known) {
		ListedTarget target = listing.target();
		for (ListedTarget other : known) {
			boolean isReplaced = other.address().equals(target.address()) && !other.id().equals(target.id());
			if (isReplaced) {
				boolean isOtherCurrent = !this.expiryDeadlines.containsKey(other.id())
						&& this.revisions.isNewerThan(other.id(), listing.revision())
						|| this.endedIncarnations.wasAtAddressBefore(target, other);
				markAddressTaken(isOtherCurrent ? target : other);
			}
		}
	}

	private void markAddressTaken(ListedTarget former) {
		if (this.draining.add(former.id())) {
			notifyListener(() -> this.listener.draining(former, DrainingCause.ADDRESS_TAKEN));
		}
	}

	// The new incarnation's entry is reported first, since requests of the former one
	// may move to it.
	private void endFormerIncarnation(ListedTarget target) {
		Optional<ListedTarget> former = find(target.id()).filter((k) -> !k.isSameIncarnation(target));
		if (former.isEmpty()) {
			return;
		}
		notifyListener(() -> this.listener.listed(target));
		this.expiryDeadlines.remove(target.id());
		drop(former.get(), DrainingCause.STARTED_AGAIN);
	}

	private void apply(ListedTarget target) {
		if (this.expiryDeadlines.remove(target.id()) != null) {
			notifyListener(() -> this.listener.renewed(target));
		}
		ListedTarget before = this.targets.put(target.id(), target);
		boolean wasDraining = this.draining.contains(target.id());
		if (target.draining() && !wasDraining) {
			this.draining.add(target.id());
			notifyListener(() -> this.listener.draining(target, DrainingCause.SAID_SO));
		}
		if (!target.draining() && before == null && !wasDraining) {
			notifyListener(() -> this.listener.joined(target));
		}
		if (!target.equals(before)) {
			notifyListener(() -> this.listener.listed(target));
		}
	}

	/**
	 * Handle the removal of a target's list entry.
	 * @param id the target's id
	 * @param now the current time in milliseconds
	 */
	public void remove(String id, long now) {
		this.staleEntries.remove(id);
		ListedTarget target = this.targets.get(id);
		if (target == null) {
			return;
		}
		if (now < this.recoveryEndsAt && !this.draining.contains(id)) {
			if (this.expiryDeadlines.putIfAbsent(id, this.recoveryEndsAt) == null) {
				long until = this.recoveryEndsAt;
				this.timers.schedule(until, this::dropExpired);
				notifyListener(() -> this.listener.expired(target, until));
			}
			return;
		}
		this.expiryDeadlines.remove(id);
		drop(target, DrainingCause.VANISHED);
	}

	/**
	 * Handle the removal of a target's list entry, unless a newer entry is known.
	 * @param id the target's id
	 * @param revision the list's revision of the removal
	 * @param now the current time in milliseconds
	 */
	public void remove(String id, long revision, long now) {
		if (this.revisions.recordIfInOrder(id, revision)) {
			remove(id, now);
		}
	}

	/**
	 * Apply a new read of the complete list. Targets that it lacks are removed.
	 * @param all the entries of the list
	 * @param now the current time in milliseconds
	 */
	public void replaceAll(Collection<TargetListing> all, long now) {
		batch(() -> replace(all, now));
	}

	private void replace(Collection<TargetListing> all, long now) {
		// The order in which two new targets were listed at one address is not known.
		List<ListedTarget> known = List.copyOf(this.targets.values());
		Set<String> listed = new HashSet<>();
		for (TargetListing listing : all) {
			listed.add(listing.target().id());
			if (!holdIfStale(listing, now)) {
				apply(listing, known);
			}
		}
		this.readingOlderCopy = false;
		this.staleEntries.keySet().retainAll(listed);
		for (String id : List.copyOf(this.targets.keySet())) {
			if (!listed.contains(id)) {
				remove(id, now);
			}
		}
	}

	// An older copy of the list may hold incarnations that have ended since. Live ones
	// write their entries again, which arrives as a separate change.
	private boolean holdIfStale(TargetListing listing, long now) {
		String id = listing.target().id();
		if (listing.equals(this.staleEntries.get(id))) {
			return true;
		}
		this.staleEntries.remove(id);
		boolean isStale = this.readingOlderCopy && !this.targets.containsKey(id)
				&& this.endedIncarnations.contains(listing.target().incarnation());
		if (isStale) {
			this.staleEntries.put(id, listing);
			this.timers.schedule(now + STALE_HOLD_MILLIS, (t) -> releaseStale(listing));
		}
		return isStale;
	}

	private void releaseStale(TargetListing listing) {
		if (this.staleEntries.remove(listing.target().id(), listing)) {
			put(listing);
		}
	}

	/**
	 * Record that the next read of the list is that of an older copy. Entries that it
	 * lacks count as expired, and its ended incarnations are not restored.
	 * @param now the current time in milliseconds
	 */
	public void storeRestored(long now) {
		this.readingOlderCopy = true;
		storeReachable(now);
	}

	/**
	 * Handle a target's rejection of a request because it accepts no new ones.
	 * @param incarnation the incarnation that rejected the request
	 */
	public void requestRejected(TargetIncarnation incarnation) {
		markDraining(incarnation, DrainingCause.REFUSED);
	}

	/**
	 * Handle a target's report that it is draining, made to this process or to another.
	 * @param incarnation the incarnation that is draining
	 */
	public void drainingReported(TargetIncarnation incarnation) {
		markDraining(incarnation, DrainingCause.SAID_SO_WHEN_ASKED);
	}

	private void markDraining(TargetIncarnation incarnation, DrainingCause cause) {
		find(incarnation.id()).filter((t) -> t.incarnation().equals(incarnation) && this.draining.add(incarnation.id()))
			.ifPresent((t) -> notifyListener(() -> this.listener.draining(t, cause)));
	}

	private void dropExpired(long now) {
		batch(() -> {
			for (Map.Entry<String, Long> expired : List.copyOf(this.expiryDeadlines.entrySet())) {
				if (now >= expired.getValue()) {
					this.expiryDeadlines.remove(expired.getKey());
					find(expired.getKey()).ifPresent((t) -> drop(t, DrainingCause.LAPSED));
				}
			}
		});
	}

	/**
	 * Return the number of targets whose entries expired and may still be written again.
	 * @return the number of targets
	 */
	public int expiredCount() {
		return this.expiryDeadlines.size();
	}

	/**
	 * Return the targets of a service that accept new requests.
	 * @param service the service's name
	 * @return the targets, without evacuated and withheld ones
	 */
	public List<ListedTarget> serving(String service) {
		return available(service).stream().filter((t) -> !this.evacuations.excludes(t)).toList();
	}

	/**
	 * Return the targets of a service that are not draining.
	 * @param service the service's name
	 * @return the targets, including evacuated and withheld ones
	 */
	public List<ListedTarget> available(String service) {
		List<ListedTarget> found = new ArrayList<>();
		for (ListedTarget target : this.targets.values()) {
			if (target.service().equals(service) && isAvailable(target.id())) {
				found.add(target);
			}
		}
		return found;
	}

	/**
	 * Determine whether a target is known and accepts new requests.
	 * @param id the target's id
	 * @return {@code true} if it is neither draining nor evacuated nor withheld
	 */
	public boolean acceptsRequests(String id) {
		return isAvailable(id) && !this.evacuations.excludes(this.targets.get(id));
	}

	/**
	 * Determine whether a target is known and not draining, so that it continues the
	 * requests that it executes.
	 * @param id the target's id
	 * @return {@code true} also for an evacuated target, which accepts no new requests
	 */
	public boolean isAvailable(String id) {
		return this.targets.containsKey(id) && !this.draining.contains(id);
	}

	/**
	 * Determine whether the incarnation of a target is the known one and accepts new
	 * requests.
	 * @param target the target
	 * @return {@code true} if requests may be sent to it
	 */
	public boolean acceptsRequests(ListedTarget target) {
		return isCurrentIncarnation(target) && acceptsRequests(target.id());
	}

	/**
	 * Determine whether the incarnation of a target is the known one and not draining.
	 * @param target the target
	 * @return {@code true} if it continues the requests that it executes
	 */
	public boolean isAvailable(ListedTarget target) {
		return isCurrentIncarnation(target) && isAvailable(target.id());
	}

	/**
	 * Determine whether the incarnation of a target is the known one.
	 * @param target the target
	 * @return {@code false} if it is gone or has been replaced
	 */
	public boolean isCurrentIncarnation(ListedTarget target) {
		return find(target.id()).filter((k) -> k.isSameIncarnation(target)).isPresent();
	}

	/**
	 * Determine whether an incarnation of a target is the known one.
	 * @param incarnation the incarnation
	 * @return {@code false} if it is gone, not yet listed or has been replaced
	 */
	public boolean isCurrentIncarnation(TargetIncarnation incarnation) {
		return find(incarnation.id()).filter((k) -> k.incarnation().equals(incarnation)).isPresent();
	}

	/**
	 * Determine whether the incarnation of a target has been replaced, so that nothing of
	 * it is left.
	 * @param target the target
	 * @return {@code true} if another incarnation is known
	 */
	public boolean isFormerIncarnation(ListedTarget target) {
		return find(target.id()).filter((k) -> !k.isSameIncarnation(target)).isPresent();
	}

	/**
	 * Determine whether a target is withheld or in an evacuated data centre.
	 * @param target the target
	 * @return {@code true} if it must not be sent requests
	 */
	public boolean isEvacuated(ListedTarget target) {
		return this.evacuations.excludes(target);
	}

	/**
	 * Return a known target, which may be draining.
	 * @param id the target's id
	 * @return the target, or empty if it is not known
	 */
	public Optional<ListedTarget> find(String id) {
		return Optional.ofNullable(this.targets.get(id));
	}

	/**
	 * Return all known targets.
	 * @return the targets, including draining ones
	 */
	public List<ListedTarget> all() {
		return List.copyOf(this.targets.values());
	}

	/**
	 * Return the number of known targets.
	 * @return the number of targets, including draining ones
	 */
	public int size() {
		return this.targets.size();
	}

	private void drop(ListedTarget target, DrainingCause cause) {
		this.targets.remove(target.id());
		this.endedIncarnations.add(target);
		if (!this.draining.remove(target.id())) {
			notifyListener(() -> this.listener.draining(target, cause));
		}
		notifyListener(() -> this.listener.gone(target));
	}

	private void notifyListener(Runnable notification) {
		if (this.batchDepth > 0) {
			this.pendingNotifications.add(notification);
		}
		else {
			notification.run();
		}
	}

}
