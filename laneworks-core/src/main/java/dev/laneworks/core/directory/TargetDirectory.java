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
 * The targets as one process knows them.
 * <p>
 * While the list can't be reached the targets known last stay. Entries can lapse
 * meanwhile though their targets are well; those are back soon after the list is, so that
 * an entry which goes within that time counts as gone only at its end. An address belongs
 * to the target that was listed there last.
 * <p>
 * Of each target one run is known, the one that was listed last by the list's revisions.
 * A run that is listed ends the run before it and all that is known of that one. What is
 * heard late of a former run changes nothing. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetDirectory {

	/**
	 * How long after the list's return a lapsed entry may still come back, in
	 * milliseconds; the platform tells about two seconds, and a target may be sent work
	 * for no longer than that after its leaving was heard.
	 */
	private static final long RETURN_MILLIS = 1_800;

	/**
	 * How long an ended run that an older copy of the list brings back is left out, in
	 * milliseconds: the list drops what is not renewed within three heartbeats, and what
	 * lives writes itself again before.
	 */
	private static final long COPY_DOUBTED_MILLIS = 4_000;

	private final Map<String, ListedTarget> targets = new LinkedHashMap<>();

	/** Entries of ended runs that an older copy of the list holds, by id. */
	private final Map<String, Listing> doubted = new HashMap<>();

	/** Whether the next whole list is that of an older copy. */
	private boolean readsCopy;

	private final Map<String, Long> lapsedUntil = new HashMap<>();

	/** The targets whose known run takes no new work. */
	private final Set<String> left = new HashSet<>();

	private final ListOrder order = new ListOrder();

	private final EndedRuns endedRuns = new EndedRuns();

	private final DirectoryListener listener;

	private final Evacuations evacuations;

	private final Timers timers;

	/** What the listener is to be told once a change of several targets is taken in. */
	private final List<Runnable> untold = new ArrayList<>();

	private int changesUnderWay;

	private long settledAt = Long.MIN_VALUE;

	/**
	 * Create an empty directory.
	 * @param listener hears of changes
	 * @param evacuations the data centres whose targets take no work
	 * @param timers what is due later
	 */
	public TargetDirectory(DirectoryListener listener, Evacuations evacuations, Timers timers) {
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
		this.evacuations = Objects.requireNonNull(evacuations, "evacuations must not be null");
		this.timers = Objects.requireNonNull(timers, "timers must not be null");
	}

	/**
	 * Record that the list is followed again after it had been out of reach. A return
	 * that is heard again within the time in which entries come back, of others and then
	 * of the list itself, is the same one: entries outlive an outage as short as that,
	 * and what goes behind the time is a notice.
	 * @param now the time in milliseconds
	 */
	public void regained(long now) {
		if (now >= this.settledAt) {
			this.settledAt = now + RETURN_MILLIS;
		}
	}

	/**
	 * Take changes of several targets as one: the listener hears of them once all are
	 * taken in, so that no work goes from a target that leaves to one that leaves with
	 * it.
	 * @param changes what changes this directory
	 */
	public void together(Runnable changes) {
		this.changesUnderWay++;
		try {
			changes.run();
		}
		finally {
			this.changesUnderWay--;
		}
		if (this.changesUnderWay == 0) {
			List<Runnable> due = List.copyOf(this.untold);
			this.untold.clear();
			due.forEach(Runnable::run);
		}
	}

	/**
	 * Take a target's entry.
	 * @param target the target
	 */
	public void put(ListedTarget target) {
		put(new Listing(target, Listing.UNKNOWN_REVISION));
	}

	/**
	 * Take an entry as it was written.
	 * @param listing the entry
	 */
	public void put(Listing listing) {
		this.doubted.remove(listing.target().id());
		together(() -> take(listing, List.copyOf(this.targets.values())));
	}

	private void take(Listing listing, Collection<ListedTarget> known) {
		if (this.order.isInOrder(listing.target().id(), listing.revision())) {
			ListedTarget target = ofKnownRun(listing.target());
			boolean isKnown = isKnownRun(target);
			endFormerRun(target);
			if (!isKnown) {
				endFormerAt(new Listing(target, listing.revision()), known);
			}
			take(target);
		}
	}

	// An entry that does not tell when its target started says nothing of another run.
	private ListedTarget ofKnownRun(ListedTarget listed) {
		return (listed.startMillis().isPresent()) ? listed
				: find(listed.id()).map((k) -> listed.startedAt(k.startMillis())).orElse(listed);
	}

	// A target's address is given to another one only after it has ended, even where its
	// entry is still listed. Of two at one address the one that was listed there later is
	// there, whichever is heard first.
	private void endFormerAt(Listing listing, Collection<ListedTarget> known) {
		ListedTarget target = listing.target();
		for (ListedTarget other : known) {
			boolean isReplaced = other.address().equals(target.address()) && !other.id().equals(target.id());
			if (isReplaced) {
				boolean isOtherThere = !this.lapsedUntil.containsKey(other.id())
						&& this.order.isKnownBehind(other.id(), listing.revision())
						|| this.endedRuns.wasBefore(target, other);
				addressTaken(isOtherThere ? target : other);
			}
		}
	}

	private void addressTaken(ListedTarget former) {
		if (this.left.add(former.id())) {
			tell(() -> this.listener.leaving(former, LeavingCause.ADDRESS_TAKEN));
		}
	}

	// What the new run tells is heard first, since what the former one ran may go there.
	private void endFormerRun(ListedTarget target) {
		Optional<ListedTarget> former = find(target.id()).filter((k) -> !k.isSameRun(target));
		if (former.isEmpty()) {
			return;
		}
		tell(() -> this.listener.listed(target));
		this.lapsedUntil.remove(target.id());
		drop(former.get(), LeavingCause.STARTED_AGAIN);
	}

	private void take(ListedTarget target) {
		this.lapsedUntil.remove(target.id());
		ListedTarget before = this.targets.put(target.id(), target);
		boolean wasLeaving = this.left.contains(target.id());
		if (target.leaving() && !wasLeaving) {
			this.left.add(target.id());
			tell(() -> this.listener.leaving(target, LeavingCause.SAID_SO));
		}
		if (!target.leaving() && before == null && !wasLeaving) {
			tell(() -> this.listener.joined(target));
		}
		if (!target.equals(before)) {
			tell(() -> this.listener.listed(target));
		}
	}

	/**
	 * Take that a target's entry went.
	 * @param id the target's id
	 * @param now the time in milliseconds
	 */
	public void remove(String id, long now) {
		this.doubted.remove(id);
		ListedTarget target = this.targets.get(id);
		if (target == null) {
			return;
		}
		if (now < this.settledAt && !this.left.contains(id)) {
			if (this.lapsedUntil.putIfAbsent(id, this.settledAt) == null) {
				this.timers.at(this.settledAt, this::dropLapsed);
			}
			return;
		}
		this.lapsedUntil.remove(id);
		drop(target, LeavingCause.VANISHED);
	}

	/**
	 * Take that a target's entry went.
	 * @param id the target's id
	 * @param revision the list's revision of that
	 * @param now the time in milliseconds
	 */
	public void remove(String id, long revision, long now) {
		if (this.order.isInOrder(id, revision)) {
			remove(id, now);
		}
	}

	/**
	 * Take the whole list, read anew.
	 * @param all the targets listed
	 * @param now the time in milliseconds
	 */
	public void replaceAll(Collection<Listing> all, long now) {
		together(() -> replace(all, now));
	}

	private void replace(Collection<Listing> all, long now) {
		// Of two that are both new it isn't known which was listed first.
		List<ListedTarget> known = List.copyOf(this.targets.values());
		Set<String> listed = new HashSet<>();
		for (Listing listing : all) {
			listed.add(listing.target().id());
			if (!isDoubted(listing, now)) {
				take(listing, known);
			}
		}
		this.readsCopy = false;
		this.doubted.keySet().retainAll(listed);
		for (String id : List.copyOf(this.targets.keySet())) {
			if (!listed.contains(id)) {
				remove(id, now);
			}
		}
	}

	// An older copy may hold runs that have ended since. Those that live are written
	// again, which is heard as a change of its own.
	private boolean isDoubted(Listing listing, long now) {
		String id = listing.target().id();
		if (listing.equals(this.doubted.get(id))) {
			return true;
		}
		this.doubted.remove(id);
		boolean isBroughtBack = this.readsCopy && !this.targets.containsKey(id)
				&& this.endedRuns.contains(listing.target().run());
		if (isBroughtBack) {
			this.doubted.put(id, listing);
			this.timers.at(now + COPY_DOUBTED_MILLIS, (t) -> believe(listing));
		}
		return isBroughtBack;
	}

	private void believe(Listing listing) {
		if (this.doubted.remove(listing.target().id(), listing)) {
			put(listing);
		}
	}

	/**
	 * Take that the list is read next as it stood some time ago. What it lacks counts as
	 * lapsed, and runs that have ended are not brought back by it.
	 * @param now the time in milliseconds
	 */
	public void historyReplaced(long now) {
		this.readsCopy = true;
		regained(now);
	}

	/**
	 * Take that a target itself showed that it takes no new work.
	 * @param run the run of the target that showed it
	 */
	public void refusedWork(TargetRun run) {
		leaves(run, LeavingCause.REFUSED);
	}

	/**
	 * Take that a target said that it is leaving, to this process or to another.
	 * @param run the run of the target that said it
	 */
	public void saidLeaving(TargetRun run) {
		leaves(run, LeavingCause.SAID_SO_WHEN_ASKED);
	}

	private void leaves(TargetRun run, LeavingCause cause) {
		find(run.id()).filter((t) -> t.run().equals(run) && this.left.add(run.id()))
			.ifPresent((t) -> tell(() -> this.listener.leaving(t, cause)));
	}

	private void dropLapsed(long now) {
		together(() -> {
			for (Map.Entry<String, Long> lapsed : List.copyOf(this.lapsedUntil.entrySet())) {
				if (now >= lapsed.getValue()) {
					this.lapsedUntil.remove(lapsed.getKey());
					find(lapsed.getKey()).ifPresent((t) -> drop(t, LeavingCause.LAPSED));
				}
			}
		});
	}

	/**
	 * Return how many targets lapsed and may still come back.
	 * @return the count
	 */
	public int lapsed() {
		return this.lapsedUntil.size();
	}

	/**
	 * Return the targets of a service that take new work.
	 * @param service the service's name
	 * @return the targets, without those in data centres that are evacuated
	 */
	public List<ListedTarget> serving(String service) {
		return staying(service).stream().filter((t) -> !this.evacuations.holdsFor(t)).toList();
	}

	/**
	 * Return the targets of a service that are not leaving.
	 * @param service the service's name
	 * @return the targets, those in data centres that are evacuated included
	 */
	public List<ListedTarget> staying(String service) {
		List<ListedTarget> found = new ArrayList<>();
		for (ListedTarget target : this.targets.values()) {
			if (target.service().equals(service) && isStaying(target.id())) {
				found.add(target);
			}
		}
		return found;
	}

	/**
	 * Return whether a target is known and takes new work.
	 * @param id the target's id
	 * @return whether work may be sent to it
	 */
	public boolean takesWork(String id) {
		return isStaying(id) && !this.evacuations.holdsFor(this.targets.get(id));
	}

	/**
	 * Return whether a target is known and is not leaving, so that it goes on with what
	 * it runs.
	 * @param id the target's id
	 * @return whether it stays; one in a data centre that is evacuated may stay and yet
	 * take no work
	 */
	public boolean isStaying(String id) {
		return this.targets.containsKey(id) && !this.left.contains(id);
	}

	/**
	 * Return whether the run of a target is the one that is known, and takes new work.
	 * @param target the target
	 * @return whether work may be sent to it
	 */
	public boolean takesWork(ListedTarget target) {
		return isKnownRun(target) && takesWork(target.id());
	}

	/**
	 * Return whether the run of a target is the one that is known, and is not leaving.
	 * @param target the target
	 * @return whether it stays
	 */
	public boolean isStaying(ListedTarget target) {
		return isKnownRun(target) && isStaying(target.id());
	}

	/**
	 * Return whether the run of a target is the one that is known.
	 * @param target the target
	 * @return {@code false} if it is gone, or has started again
	 */
	public boolean isKnownRun(ListedTarget target) {
		return find(target.id()).filter((k) -> k.isSameRun(target)).isPresent();
	}

	/**
	 * Return whether a run of a target is the one that is known.
	 * @param run the run
	 * @return {@code false} if it is gone, not heard of yet, or another one is listed
	 */
	public boolean isKnownRun(TargetRun run) {
		return find(run.id()).filter((k) -> k.run().equals(run)).isPresent();
	}

	/**
	 * Return whether a target is known to have started again, so that nothing of its
	 * former run is left.
	 * @param target the target
	 * @return whether another run of it is listed
	 */
	public boolean isFormerRun(ListedTarget target) {
		return find(target.id()).filter((k) -> !k.isSameRun(target)).isPresent();
	}

	/**
	 * Return whether a target is in a data centre that is evacuated.
	 * @param target the target
	 * @return whether nothing may be sent to it
	 */
	public boolean isEvacuated(ListedTarget target) {
		return this.evacuations.holdsFor(target);
	}

	/**
	 * Return a target that is listed or was when it was last heard of.
	 * @param id the target's id
	 * @return the target
	 */
	public Optional<ListedTarget> find(String id) {
		return Optional.ofNullable(this.targets.get(id));
	}

	/**
	 * Return all targets that are known.
	 * @return the targets, those that are leaving included
	 */
	public List<ListedTarget> all() {
		return List.copyOf(this.targets.values());
	}

	/**
	 * Return how many targets are known.
	 * @return the count, those that are leaving included
	 */
	public int size() {
		return this.targets.size();
	}

	private void drop(ListedTarget target, LeavingCause cause) {
		this.targets.remove(target.id());
		this.endedRuns.add(target);
		if (!this.left.remove(target.id())) {
			tell(() -> this.listener.leaving(target, cause));
		}
		tell(() -> this.listener.gone(target));
	}

	private void tell(Runnable news) {
		if (this.changesUnderWay > 0) {
			this.untold.add(news);
		}
		else {
			news.run();
		}
	}

}
