package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.DrainingCause;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.follow.FollowSettings;
import dev.laneworks.core.follow.SharedWatch;
import dev.laneworks.core.follow.StoreCalls;
import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.follow.StorePosition;
import dev.laneworks.core.follow.StoreUpdate;
import dev.laneworks.core.handover.SnapshotChunk;
import dev.laneworks.core.handover.SnapshotRequest;
import dev.laneworks.core.serving.AccountKeys;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.runtime.http.BackgroundExecutor;
import io.vavr.control.Either;

/**
 * Simulation in virtual time of a store, the targets registered in it and the entries
 * that follow it, wired as in {@link DirectEntry}.
 */
final class MembershipSimulation {

	static final FollowSettings SETTINGS = new FollowSettings(4_000, 700, 60);

	private static final String EVACUATIONS = "evacuate/";

	private static final long STORE_MILLIS = 4;

	/** Length of the changes that fit into a message between entries. */
	private static final int MAX_UPDATE_CHARACTERS = 32 * 1024;

	/** The smallest limit of the answer to a watch. */
	private static final int MIN_ANSWER_CHARACTERS = 192 * 1024;

	private static final String PLAN_KEY = "plan";

	final Timers timers = new Timers();

	final SplittableRandom random;

	final List<Entry> entries = new ArrayList<>();

	/** The registered targets with the values of their registrations. */
	private final TreeMap<String, String> listed = new TreeMap<>();

	/**
	 * The values that live targets wrote last, which an older copy of the store may lack.
	 */
	private final TreeMap<String, String> registered = new TreeMap<>();

	/** The revision of the latest write of each registration. */
	private final Map<String, Long> writtenAt = new HashMap<>();

	/**
	 * The start time of each target's incarnation by its own wall clock, in milliseconds.
	 */
	private final Map<String, Long> starts = new HashMap<>();

	/** The targets written since the last restore of the store. */
	private final Set<String> rewritten = new HashSet<>();

	/** The data centres marked as evacuated. */
	private final Set<String> evacuated = new TreeSet<>();

	private final List<StoreChange> history = new ArrayList<>();

	/**
	 * Registrations that lapsed while their targets are alive; they return with the
	 * store.
	 */
	private final Map<String, String> lapsed = new TreeMap<>();

	/**
	 * The targets that registered again after their lapse, so that the registration of
	 * their former incarnation does not return.
	 */
	private final Set<String> listedSinceLapse = new HashSet<>();

	private final List<Runnable> waitingWatches = new ArrayList<>();

	private Backup backup;

	private long discardedUpTo;

	private long revision = 100;

	private boolean up = true;

	/** The current plan: its version, a space and padding. */
	private StoreItem plan = new StoreItem(PLAN_KEY, "1 ");

	/** Bandwidth of each entry's link for snapshots, in Mbit/s. */
	double linkMegabit = 10;

	/** Proportion of updates between entries that are lost, in thousandths. */
	int lostUpdatesPerMille;

	/**
	 * Proportion of updates between entries that are up to 400 ms late, in thousandths.
	 */
	int lateUpdatesPerMille = 100;

	long now;

	/**
	 * Whether store updates are sent to all entries rather than to those of the data
	 * centre.
	 */
	boolean broadcastsToAll;

	/** Whether watches receive no changes. */
	private boolean watchesSilent;

	/** Number of store calls other than heartbeat probes. */
	int calls;

	/** Number of heartbeat probes sent to the store. */
	int probes;

	MembershipSimulation(long seed, int entryCount, int dataCentres) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < entryCount; i++) {
			this.entries.add(new Entry("e" + i, "dc" + i % dataCentres));
		}
	}

	void start() {
		this.entries.forEach((e) -> e.store.follower().start(this.now));
		this.entries.forEach((e) -> this.timers.schedule(this.now + 300, e.snapshots::start));
		advance(200);
	}

	// Start an entry that receives a snapshot of another one before the store answers.
	void startWithSnapshotOf(Entry provider) {
		Entry newEntry = new Entry("e" + this.entries.size(), provider.dataCentre);
		this.entries.add(newEntry);
		newEntry.store.follower().start(this.now);
		provider.store.follower().knownRevision().ifPresent((at) -> newEntry.adopt(provider, at));
	}

	// Start an entry that reaches neither the store nor other entries.
	Entry startWithoutContact(String dataCentre) {
		Entry newEntry = new Entry("e" + this.entries.size(), dataCentre);
		newEntry.rejectedByStore = true;
		newEntry.ignoresPeers = true;
		this.entries.add(newEntry);
		newEntry.store.follower().start(this.now);
		return newEntry;
	}

	// Give an entry the snapshot of another one.
	void adopt(Entry receiver, Entry provider) {
		provider.store.follower().knownRevision().ifPresent((at) -> receiver.adopt(provider, at));
	}

	void advance(long millis) {
		long end = this.now + millis;
		while (this.timers.nextDue() <= end) {
			this.now = Math.max(this.now, this.timers.nextDue());
			this.timers.run(this.now);
		}
		this.now = end;
	}

	// Publish a plan of a given length.
	void publishPlan(long version, int characters) {
		this.plan = new StoreItem(PLAN_KEY, version + " " + "x".repeat(characters), ++this.revision);
		write(new StoreChange(PLAN_KEY, Optional.of(this.plan), this.revision));
	}

	void list(String id, String address, boolean leaving) {
		this.rewritten.add(id);
		this.listedSinceLapse.add(id);
		write(id, address + " " + this.starts.getOrDefault(id, 0L) + (leaving ? " leaving" : ""));
	}

	private void write(String id, String value) {
		this.registered.put(id, value);
		this.listed.put(id, value);
		this.writtenAt.put(id, ++this.revision);
		write(new StoreChange("servers/" + id, Optional.of(item(id)), this.revision));
	}

	// Set the start time that a target registers with from now on.
	void starts(String id, long millis) {
		this.starts.put(id, millis);
	}

	// Return the start time that each target registered last.
	Map<String, Long> listedStarts() {
		Map<String, Long> runs = new TreeMap<>();
		this.listed.forEach((id, value) -> runs.put(id, Long.parseLong(value.split(" ")[1])));
		return runs;
	}

	// Return the registered targets that are not draining.
	Set<String> listedTakingWork() {
		return this.listed.entrySet()
			.stream()
			.filter((e) -> !e.getValue().endsWith("leaving"))
			.map(Map.Entry::getKey)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	void unlist(String id) {
		this.rewritten.add(id);
		this.registered.remove(id);
		this.listed.remove(id);
		write(new StoreChange("servers/" + id, Optional.empty(), ++this.revision));
	}

	void evacuate(String dataCentre) {
		if (this.evacuated.add(dataCentre)) {
			write(new StoreChange(EVACUATIONS + dataCentre, Optional.of(evacuation(dataCentre)), ++this.revision));
		}
	}

	void endEvacuation(String dataCentre) {
		if (this.evacuated.remove(dataCentre)) {
			write(new StoreChange(EVACUATIONS + dataCentre, Optional.empty(), ++this.revision));
		}
	}

	Set<String> evacuated() {
		return new TreeSet<>(this.evacuated);
	}

	private static StoreItem evacuation(String dataCentre) {
		return new StoreItem(EVACUATIONS + dataCentre, "{}");
	}

	// Remove the registration of a live target, which registers again soon after the
	// store returns.
	void lapse(String id) {
		this.lapsed.put(id, this.listed.get(id));
		this.listedSinceLapse.remove(id);
		unlist(id);
	}

	Set<String> listedIds() {
		return new TreeSet<>(this.listed.keySet());
	}

	boolean isUp() {
		return this.up;
	}

	void storeDown() {
		this.up = false;
		this.waitingWatches.clear();
	}

	void storeUp() {
		this.up = true;
		for (String id : List.copyOf(this.lapsed.keySet())) {
			String listedValue = this.lapsed.remove(id);
			this.timers.schedule(this.now + this.random.nextInt(1_500), (t) -> {
				if (!this.listedSinceLapse.contains(id)) {
					write(id, listedValue);
				}
			});
		}
	}

	// Keep changes from watches until the history is discarded.
	void silenceWatches() {
		this.watchesSilent = true;
	}

	// Discard the changes that watches have not received, and reset their connections.
	void discardHistoryAndResetWatches() {
		this.watchesSilent = false;
		discardHistory();
		this.entries.stream().filter((e) -> !e.rejectedByStore).forEach((e) -> e.source.resetWatch());
	}

	// Record the current content of the store.
	void takeBackup() {
		this.backup = new Backup(new TreeMap<>(this.listed), Map.copyOf(this.writtenAt), Set.copyOf(this.evacuated),
				this.revision);
	}

	boolean hasBackup() {
		return this.backup != null;
	}

	// Restore the store in a new era. Live targets and the operator write again what
	// was lost; registrations of targets that ended lapse after three heartbeats.
	void restoreFromBackup() {
		TreeMap<String, String> current = new TreeMap<>(this.registered);
		Set<String> requested = Set.copyOf(this.evacuated);
		long era = StorePosition.of(this.revision).era() + 1;
		this.revision = inEra(era, this.backup.revision);
		this.listed.clear();
		this.listed.putAll(this.backup.listed);
		this.writtenAt.clear();
		this.backup.writtenAt.forEach((id, at) -> this.writtenAt.put(id, inEra(era, at)));
		this.evacuated.clear();
		this.evacuated.addAll(this.backup.evacuated);
		this.history.clear();
		this.discardedUpTo = this.revision;
		current.forEach((id, value) -> this.timers.schedule(this.now + this.random.nextInt(1_500), (t) -> {
			boolean isCurrent = value.equals(this.registered.get(id));
			if (isCurrent && !this.rewritten.contains(id)) {
				write(id, value);
			}
		}));
		this.backup.listed.keySet()
			.stream()
			.filter((id) -> !current.containsKey(id))
			.forEach((id) -> this.timers.schedule(this.now + 2_400 + this.random.nextInt(1_200), (t) -> {
				if (this.listed.containsKey(id) && !this.rewritten.contains(id)) {
					unlist(id);
				}
			}));
		this.timers.schedule(this.now + this.random.nextInt(1_000), (t) -> {
			requested.forEach(this::evacuate);
			Set.copyOf(this.evacuated).stream().filter((d) -> !requested.contains(d)).forEach(this::endEvacuation);
		});
		this.rewritten.clear();
		this.backup = null;
		this.entries.stream().filter((e) -> !e.rejectedByStore).forEach((e) -> e.source.resetWatch());
	}

	private static long inEra(long era, long position) {
		return new StorePosition(era, StorePosition.of(position).revision()).number();
	}

	void discardHistory() {
		this.discardedUpTo = this.revision;
		this.history.clear();
	}

	private void write(StoreChange change) {
		this.history.add(change);
		if (this.watchesSilent) {
			return;
		}
		List<Runnable> woken = List.copyOf(this.waitingWatches);
		this.waitingWatches.clear();
		woken.forEach(Runnable::run);
	}

	private StoreItem item(String id) {
		return new StoreItem("servers/" + id, this.listed.get(id), this.writtenAt.get(id));
	}

	private List<StoreItem> items() {
		List<StoreItem> all = new ArrayList<>();
		all.add(this.plan);
		this.evacuated.forEach((d) -> all.add(evacuation(d)));
		this.listed.keySet().forEach((id) -> all.add(item(id)));
		return all;
	}

	private void sendToDataCentre(Entry from, StoreUpdate update) {
		List<Entry> near = this.entries.stream()
			.filter((e) -> e != from && (this.broadcastsToAll || e.dataCentre.equals(from.dataCentre)))
			.collect(Collectors.toCollection(ArrayList::new));
		if (update.kind() == StoreUpdate.Kind.REQUEST) {
			Collections.shuffle(near, new Random(this.random.nextLong()));
			near.subList(Math.min(2, near.size()), near.size()).clear();
		}
		send(from, update, near);
	}

	private void sendToOtherDataCentres(Entry from, StoreUpdate update) {
		this.entries.stream()
			.filter((e) -> !e.dataCentre.equals(from.dataCentre))
			.collect(Collectors.groupingBy((e) -> e.dataCentre))
			.values()
			.forEach((all) -> send(from, update,
					all.stream().sorted(Entry.FIRST_BY_RANK).limit(SharedWatch.RECEIVERS_PER_GROUP).toList()));
	}

	private void send(Entry from, StoreUpdate update, List<Entry> receivers) {
		StoreUpdate sent = update.reducedTo(MAX_UPDATE_CHARACTERS);
		for (Entry to : receivers) {
			boolean isDelivered = to != from && this.random.nextInt(1_000) >= this.lostUpdatesPerMille;
			for (int i = 0; isDelivered && i < ((this.random.nextInt(20) == 0) ? 2 : 1); i++) {
				long delay = 1 + ((this.random.nextInt(1_000) < this.lateUpdatesPerMille) ? this.random.nextInt(400)
						: this.random.nextInt(5));
				this.timers.schedule(this.now + delay, (t) -> to.receive(from, sent));
			}
		}
	}

	private void requestSnapshot(Entry to, String from, SnapshotRequest request) {
		this.entries.stream()
			.filter((e) -> e.name.equals(from) && !e.ignoresPeers)
			.forEach((e) -> this.timers.schedule(this.now + 1 + this.random.nextInt(3),
					(t) -> e.snapshots.answer(request, t).forEach((c) -> sendChunk(e, to, c))));
	}

	// Chunks pass the outgoing link of one entry and then the incoming link of the other.
	private void sendChunk(Entry from, Entry to, SnapshotChunk chunk) {
		long transferMillis = (long) (chunk.data().length * 8 / (this.linkMegabit * 1_000));
		from.outgoingFreeAt = Math.max(this.now, from.outgoingFreeAt) + transferMillis;
		to.incomingFreeAt = Math.max(from.outgoingFreeAt, to.incomingFreeAt) + transferMillis;
		long end = to.incomingFreeAt;
		if (!to.ignoresPeers && this.random.nextInt(1_000) >= this.lostUpdatesPerMille) {
			this.timers.schedule(end + 1, (t) -> to.snapshots.received(from.name, chunk, t));
		}
	}

	/**
	 * Content of the store at the time of a backup.
	 *
	 * @param listed the registered targets
	 * @param writtenAt the revision of each registration
	 * @param evacuated the evacuated data centres
	 * @param revision the store revision
	 */
	private record Backup(TreeMap<String, String> listed, Map<String, Long> writtenAt, Set<String> evacuated,
			long revision) {

	}

	/** View of the store of one entry, which records the events that it receives. */
	final class Entry implements DirectoryListener, EvacuationListener {

		static final Comparator<Entry> FIRST_BY_RANK = Comparator
			.comparing((e) -> SharedWatch.rank(e.dataCentre, e.name), (a, b) -> Long.compareUnsigned(b, a));

		final String name;

		final String dataCentre;

		final StoreView store;

		/** Number of join events per target. */
		final Map<String, Integer> joined = new HashMap<>();

		/** Number of join events per incarnation of a target. */
		final Map<TargetIncarnation, Integer> joinedIncarnations = new HashMap<>();

		final Set<String> acceptingRequests = new HashSet<>();

		/** The data centres that are evacuated according to received events. */
		final Set<String> evacuated = new TreeSet<>();

		/** Whether the store rejects the calls of this entry. */
		boolean rejectedByStore;

		/** Whether the answer to the next long watch is lost. */
		boolean losesNextLongWatch;

		/** Number of answers to full reads that are still to be lost. */
		int lostPages;

		/** Whether the heartbeat probes of this entry get no answer. */
		boolean losesProbes;

		/** Whether this entry receives no updates from other entries. */
		boolean ignoresPeers;

		/** The versions of the plan in the order in which they came into force. */
		final List<Long> planVersions = new ArrayList<>();

		private final SharedWatch watch;

		private final Source source;

		private final SnapshotTransfer snapshots;

		/** When the outgoing link has sent all chunks, in milliseconds. */
		private long outgoingFreeAt;

		private long incomingFreeAt;

		Entry(String name, String dataCentre) {
			this.name = name;
			this.dataCentre = dataCentre;
			this.watch = new SharedWatch(name, dataCentre, this::others,
					(u) -> MembershipSimulation.this.sendToDataCentre(this, u),
					(u) -> MembershipSimulation.this.sendToOtherDataCentres(this, u));
			this.source = new Source(this);
			this.store = new StoreView(this.source, SETTINGS, this, this, (p) -> this.planVersions.add(p.version()),
					this.watch, MembershipSimulation.this.timers, MembershipSimulation.this.random.split(),
					new SynchronousWork(), (e) -> {
					});
			this.snapshots = new SnapshotTransfer(this.store.follower(), this::peerNames,
					(to, request) -> MembershipSimulation.this.requestSnapshot(this, to, request),
					MembershipSimulation.this.timers, () -> MembershipSimulation.this.now,
					new SplittableRandom(name.hashCode()), (e) -> {
					});
		}

		private List<String> peerNames() {
			return MembershipSimulation.this.entries.stream()
				.filter((e) -> e != this
						&& (MembershipSimulation.this.broadcastsToAll || e.dataCentre.equals(this.dataCentre)))
				.map((e) -> e.name)
				.toList();
		}

		long planVersion() {
			return this.planVersions.isEmpty() ? -1 : this.planVersions.get(this.planVersions.size() - 1);
		}

		Set<String> knownIds() {
			Set<String> ids = new TreeSet<>();
			this.store.directory().all().forEach((t) -> ids.add(t.id()));
			return ids;
		}

		private void adopt(Entry provider, long at) {
			this.store.follower()
				.applySnapshot(provider.store.follower().knownItems(), at,
						provider.store.follower().silentMillis(MembershipSimulation.this.now),
						MembershipSimulation.this.now);
		}

		// Return the start time of the known incarnation of each target.
		Map<String, Long> knownStarts() {
			Map<String, Long> startTimes = new TreeMap<>();
			this.store.directory().all().forEach((t) -> startTimes.put(t.id(), t.startMillis().orElse(-1)));
			return startTimes;
		}

		private int others() {
			return (int) MembershipSimulation.this.entries.stream()
				.filter((e) -> e.dataCentre.equals(this.dataCentre))
				.count() - 1;
		}

		private void receive(Entry from, StoreUpdate update) {
			if (this.ignoresPeers) {
				return;
			}
			if (update.kind() == StoreUpdate.Kind.REQUEST) {
				this.watch.createAnswer(update)
					.ifPresent((a) -> MembershipSimulation.this.timers.schedule(MembershipSimulation.this.now + 2,
							(t) -> from.receive(this, a.reducedTo(MAX_UPDATE_CHARACTERS))));
				return;
			}
			this.watch.recordUpdate(update, MembershipSimulation.this.now);
			this.store.follower().updateReceived(update, MembershipSimulation.this.now);
		}

		@Override
		public void evacuated(String dataCentre) {
			this.evacuated.add(dataCentre);
		}

		@Override
		public void evacuationEnded(String dataCentre) {
			this.evacuated.remove(dataCentre);
		}

		@Override
		public void listed(ListedTarget target) {
			// Not needed.
		}

		@Override
		public void joined(ListedTarget target) {
			this.joined.merge(target.id(), 1, Integer::sum);
			this.joinedIncarnations.merge(target.incarnation(), 1, Integer::sum);
			this.acceptingRequests.add(target.id());
		}

		@Override
		public void draining(ListedTarget target, DrainingCause cause) {
			this.acceptingRequests.remove(target.id());
		}

		@Override
		public void gone(ListedTarget target) {
			this.acceptingRequests.remove(target.id());
		}

	}

	private final class Source implements ConfigurationSource, StoreCalls {

		private final Entry entry;

		private Supplier<StoreFollower> follower;

		private long watchCall;

		Source(Entry entry) {
			this.entry = entry;
		}

		@Override
		public StoreCalls storeCalls(Supplier<StoreFollower> followerSupplier) {
			this.follower = followerSupplier;
			return this;
		}

		@Override
		public void readPage(long call, Optional<String> afterKey) {
			if (!this.entry.rejectedByStore && this.entry.lostPages > 0) {
				this.entry.lostPages--;
				MembershipSimulation.this.calls++;
				return;
			}
			answer(call, (t) -> {
				List<StoreItem> all = MembershipSimulation.this.items();
				long at = MembershipSimulation.this.revision;
				MembershipSimulation.this.timers.schedule(t + 1 + MembershipSimulation.this.random.nextInt(30),
						(later) -> this.follower.get().pageRead(call, all, false, at, later));
			});
		}

		@Override
		public void watch(long call, long since, long waitMillis, long maxCharacters) {
			this.watchCall = call;
			if (this.entry.losesNextLongWatch && waitMillis > SETTINGS.minIntervalMillis()) {
				this.entry.losesNextLongWatch = false;
				MembershipSimulation.this.calls++;
				return;
			}
			answer(call, (t) -> answerWhenChanged(call, since, t + waitMillis, maxCharacters, t));
		}

		// Reset the connection of the open watch.
		void resetWatch() {
			this.follower.get().failed(this.watchCall, "reset", MembershipSimulation.this.now);
		}

		private void answerWhenChanged(long call, long since, long end, long maxCharacters, long t) {
			if (!MembershipSimulation.this.up || this.entry.rejectedByStore) {
				return;
			}
			if (since < MembershipSimulation.this.discardedUpTo) {
				this.follower.get().historyCompacted(call, t);
				return;
			}
			List<StoreChange> changes = MembershipSimulation.this.watchesSilent ? List.of()
					: MembershipSimulation.this.history.stream().filter((c) -> c.revision() > since).toList();
			if (!changes.isEmpty() || t >= end) {
				long at = MembershipSimulation.this.watchesSilent ? since : MembershipSimulation.this.revision;
				boolean isTooLarge = characters(changes) > Math.max(MIN_ANSWER_CHARACTERS, maxCharacters);
				MembershipSimulation.this.timers.schedule(t + STORE_MILLIS, (later) -> {
					if (isTooLarge) {
						this.follower.get().watchAnswerTooLarge(call, later);
					}
					else {
						this.follower.get().watchAnswered(call, changes, at, later);
					}
				});
				return;
			}
			boolean[] isAnswered = new boolean[1];
			Consumer<Long> retryOnce = (when) -> {
				if (!isAnswered[0]) {
					isAnswered[0] = true;
					answerWhenChanged(call, since, end, maxCharacters, when);
				}
			};
			MembershipSimulation.this.waitingWatches.add(() -> retryOnce.accept(MembershipSimulation.this.now));
			MembershipSimulation.this.timers.schedule(end, retryOnce::accept);
		}

		private static long characters(List<StoreChange> changes) {
			return changes.stream().flatMap((c) -> c.item().stream()).mapToLong((i) -> i.value().length()).sum();
		}

		// Calls fail or stay unanswered while the store is down or rejects the entry.
		private void answer(long call, Timers.TimedAction reply) {
			MembershipSimulation.this.calls++;
			MembershipSimulation.this.timers.schedule(MembershipSimulation.this.now + STORE_MILLIS, (t) -> {
				if (MembershipSimulation.this.up && !this.entry.rejectedByStore) {
					reply.run(t);
				}
				else if (MembershipSimulation.this.random.nextBoolean()) {
					this.follower.get().failed(call, "refused", t);
				}
			});
		}

		@Override
		public void probe() {
			MembershipSimulation.this.probes++;
			MembershipSimulation.this.timers.schedule(MembershipSimulation.this.now + STORE_MILLIS, (t) -> {
				if (MembershipSimulation.this.up && !this.entry.rejectedByStore && !this.entry.losesProbes) {
					this.follower.get().probeAnswered(MembershipSimulation.this.revision, t);
				}
			});
		}

		@Override
		public void cancel() {
			// Late answers are ignored by their call number.
		}

		@Override
		public boolean isPlan(String key) {
			return key.equals(PLAN_KEY);
		}

		@Override
		public String targetId(String key) {
			return key.startsWith("servers/") ? key.substring("servers/".length()) : "";
		}

		@Override
		public String evacuatedDataCentre(String key) {
			return key.startsWith(EVACUATIONS) ? key.substring(EVACUATIONS.length()) : "";
		}

		@Override
		public Either<String, ServingPlan> plan(StoreItem item) {
			long version = Long.parseLong(item.value().substring(0, item.value().indexOf(' ')));
			return Either.right(new ServingPlan(version, List.of(),
					Map.of("s", new ServiceSpec("s", Integer.MAX_VALUE, 0, Optional.empty())),
					AccountKeys.notRequired(), new RequestLimits(1, 1, 1, 1)));
		}

		@Override
		public Either<String, ListedTarget> target(StoreItem item) {
			String[] words = item.value().split(" ");
			return Either.right(new ListedTarget(targetId(item.key()), "s", words[0], 80, "dc", 4, words.length > 2,
					OptionalLong.empty(), OptionalLong.of(Long.parseLong(words[1]))));
		}

		@Override
		public List<String> readinessPaths() {
			return List.of("/");
		}

	}

	private static final class SynchronousWork implements BackgroundExecutor {

		@Override
		public <T> void submit(Supplier<T> task, Consumer<Either<Throwable, T>> receiver) {
			receiver.accept(Either.right(task.get()));
		}

	}

}
