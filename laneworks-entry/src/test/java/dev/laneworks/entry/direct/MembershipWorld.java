package dev.laneworks.entry.direct;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.LeavingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.follow.FollowOutputs;
import dev.laneworks.core.follow.FollowSettings;
import dev.laneworks.core.follow.SharedReading;
import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreFollower;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.follow.StoreNews;
import dev.laneworks.core.follow.StorePosition;
import dev.laneworks.core.serving.RequestLimits;
import dev.laneworks.core.serving.ServiceSpec;
import dev.laneworks.core.serving.ServingPlan;
import dev.laneworks.core.time.Timers;
import dev.laneworks.runtime.http.BackgroundWork;
import io.vavr.control.Either;

/**
 * A store, the targets that list themselves in it and the entries that follow it, wired
 * as {@link DirectEntry} wires them, in virtual time.
 */
final class MembershipWorld {

	static final FollowSettings SETTINGS = new FollowSettings(4_000, 700, 60);

	private static final String EVACUATIONS = "evacuate/";

	private static final long STORE_MILLIS = 4;

	final Timers timers = new Timers();

	final SplittableRandom random;

	final List<Entry> entries = new ArrayList<>();

	/** All that stands in the store: the address of each target that is listed. */
	private final TreeMap<String, String> listed = new TreeMap<>();

	/** The revision at which each of them was written last. */
	private final Map<String, Long> writtenAt = new HashMap<>();

	/** When the run of each target started, in milliseconds of its own time of day. */
	private final Map<String, Long> starts = new HashMap<>();

	/** The targets that were written since the store came back from a copy. */
	private final Set<String> rewritten = new HashSet<>();

	/** The data centres that are to be evacuated. */
	private final Set<String> evacuated = new TreeSet<>();

	private final List<StoreChange> history = new ArrayList<>();

	/** Entries that lapsed though their targets live: they come back with the store. */
	private final Map<String, String> lapsed = new TreeMap<>();

	private final List<Runnable> waitingWatches = new ArrayList<>();

	private Copy copy;

	private long forgottenUpTo;

	private long revision = 100;

	private boolean up = true;

	/** How many of a thousand news between entries are lost. */
	int newsLost;

	/** How many of a thousand news between entries come up to 400 ms late. */
	int newsLate = 100;

	long now;

	/** Whether all entries are told what one reads, as where there are few. */
	boolean allNear;

	/** Whether watches hear nothing of what changes. */
	private boolean quiet;

	/** How many calls the store was asked, but for signs of life. */
	int calls;

	/** How often the store was asked for a sign of life. */
	int probes;

	MembershipWorld(long seed, int entryCount, int dataCentres) {
		this.random = new SplittableRandom(seed);
		for (int i = 0; i < entryCount; i++) {
			this.entries.add(new Entry("e" + i, "dc" + i % dataCentres));
		}
	}

	void start() {
		this.entries.forEach((e) -> e.store.follower().start(this.now));
		pass(200);
	}

	// An entry starts, and takes what another one knows before the store has answered it.
	void startWithStateOf(Entry giver) {
		Entry started = new Entry("e" + this.entries.size(), giver.dataCentre);
		this.entries.add(started);
		started.store.follower().start(this.now);
		giver.store.follower().knownRevision().ifPresent((at) -> started.adopt(giver, at));
	}

	void pass(long millis) {
		long end = this.now + millis;
		while (this.timers.nextDue() <= end) {
			this.now = Math.max(this.now, this.timers.nextDue());
			this.timers.run(this.now);
		}
		this.now = end;
	}

	void list(String id, String address, boolean leaving) {
		this.rewritten.add(id);
		write(id, address + " " + this.starts.getOrDefault(id, 0L) + (leaving ? " leaving" : ""));
	}

	private void write(String id, String value) {
		this.listed.put(id, value);
		this.writtenAt.put(id, ++this.revision);
		write(new StoreChange("servers/" + id, Optional.of(item(id)), this.revision));
	}

	// From now on a target lists itself with this start time.
	void starts(String id, long millis) {
		this.starts.put(id, millis);
	}

	// The run that each target listed itself with last.
	Map<String, Long> listedStarts() {
		Map<String, Long> runs = new TreeMap<>();
		this.listed.forEach((id, value) -> runs.put(id, Long.parseLong(value.split(" ")[1])));
		return runs;
	}

	// The targets that are listed and have not said that they leave.
	Set<String> listedTakingWork() {
		return this.listed.entrySet()
			.stream()
			.filter((e) -> !e.getValue().endsWith("leaving"))
			.map(Map.Entry::getKey)
			.collect(Collectors.toCollection(TreeSet::new));
	}

	void unlist(String id) {
		this.rewritten.add(id);
		this.listed.remove(id);
		write(new StoreChange("servers/" + id, Optional.empty(), ++this.revision));
	}

	void evacuate(String dataCentre) {
		if (this.evacuated.add(dataCentre)) {
			write(new StoreChange(EVACUATIONS + dataCentre, Optional.of(evacuation(dataCentre)), ++this.revision));
		}
	}

	void takeBack(String dataCentre) {
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

	// A target that lives loses its entry; it lists itself again soon after the store is
	// back.
	void lapse(String id) {
		this.lapsed.put(id, this.listed.get(id));
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
			String was = this.lapsed.remove(id);
			this.timers.at(this.now + this.random.nextInt(1_500), (t) -> write(id, was));
		}
	}

	// Until the history is forgotten watches hear nothing.
	void keepQuiet() {
		this.quiet = true;
	}

	// Forgets what watches did not hear, and cuts them.
	void forgetAndCutWatches() {
		this.quiet = false;
		forgetHistory();
		this.entries.stream().filter((e) -> !e.turnedAway).forEach((e) -> e.source.cut());
	}

	// Makes a copy of all that stands in the store.
	void copy() {
		this.copy = new Copy(new TreeMap<>(this.listed), Map.copyOf(this.writtenAt), Set.copyOf(this.evacuated),
				this.revision);
	}

	boolean hasCopy() {
		return this.copy != null;
	}

	// The store comes back as it was when the copy was made, in a new era. What lives and
	// the operator write again what was lost; what has ended lapses three heartbeats
	// later.
	void comeBackFromCopy() {
		TreeMap<String, String> truth = new TreeMap<>(this.listed);
		Set<String> asked = Set.copyOf(this.evacuated);
		long era = StorePosition.of(this.revision).era() + 1;
		this.revision = inEra(era, this.copy.revision);
		this.listed.clear();
		this.listed.putAll(this.copy.listed);
		this.writtenAt.clear();
		this.copy.writtenAt.forEach((id, at) -> this.writtenAt.put(id, inEra(era, at)));
		this.evacuated.clear();
		this.evacuated.addAll(this.copy.evacuated);
		this.history.clear();
		this.forgottenUpTo = this.revision;
		truth.forEach((id, value) -> this.timers.at(this.now + this.random.nextInt(1_500), (t) -> {
			if (!this.rewritten.contains(id)) {
				write(id, value);
			}
		}));
		this.copy.listed.keySet()
			.stream()
			.filter((id) -> !truth.containsKey(id))
			.forEach((id) -> this.timers.at(this.now + 2_400 + this.random.nextInt(1_200), (t) -> {
				if (this.listed.containsKey(id) && !this.rewritten.contains(id)) {
					unlist(id);
				}
			}));
		this.timers.at(this.now + this.random.nextInt(1_000), (t) -> {
			asked.forEach(this::evacuate);
			Set.copyOf(this.evacuated).stream().filter((d) -> !asked.contains(d)).forEach(this::takeBack);
		});
		this.rewritten.clear();
		this.copy = null;
		this.entries.stream().filter((e) -> !e.turnedAway).forEach((e) -> e.source.cut());
	}

	private static long inEra(long era, long position) {
		return new StorePosition(era, StorePosition.of(position).revision()).number();
	}

	void forgetHistory() {
		this.forgottenUpTo = this.revision;
		this.history.clear();
	}

	private void write(StoreChange change) {
		this.history.add(change);
		if (this.quiet) {
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
		all.add(new StoreItem("plan", "1"));
		this.evacuated.forEach((d) -> all.add(evacuation(d)));
		this.listed.keySet().forEach((id) -> all.add(item(id)));
		return all;
	}

	private void tellNear(Entry from, StoreNews news) {
		tell(from, news,
				this.entries.stream().filter((e) -> this.allNear || e.dataCentre.equals(from.dataCentre)).toList());
	}

	private void tellFarAway(Entry from, StoreNews news) {
		this.entries.stream()
			.filter((e) -> !e.dataCentre.equals(from.dataCentre))
			.collect(Collectors.groupingBy((e) -> e.dataCentre))
			.values()
			.forEach((all) -> tell(from, news,
					all.stream().sorted(Entry.FIRST_BY_RANK).limit(SharedReading.TOLD_IN_EACH_GROUP).toList()));
	}

	private void tell(Entry from, StoreNews news, List<Entry> receivers) {
		for (Entry to : receivers) {
			boolean isHeard = to != from && this.random.nextInt(1_000) >= this.newsLost;
			for (int i = 0; isHeard && i < ((this.random.nextInt(20) == 0) ? 2 : 1); i++) {
				long delay = 1 + ((this.random.nextInt(1_000) < this.newsLate) ? this.random.nextInt(400)
						: this.random.nextInt(5));
				this.timers.at(this.now + delay, (t) -> to.hear(from, news));
			}
		}
	}

	/**
	 * What stood in the store when a copy of it was made.
	 *
	 * @param listed the targets
	 * @param writtenAt when each of them was written
	 * @param evacuated the data centres that were evacuated
	 * @param revision the position
	 */
	private record Copy(TreeMap<String, String> listed, Map<String, Long> writtenAt, Set<String> evacuated,
			long revision) {

	}

	/**
	 * One entry's view of the store.
	 */
	final class Entry implements DirectoryListener, EvacuationListener {

		static final Comparator<Entry> FIRST_BY_RANK = Comparator
			.comparing((e) -> SharedReading.rank(e.dataCentre, e.name), (a, b) -> Long.compareUnsigned(b, a));

		final String name;

		final String dataCentre;

		final FollowedStore store;

		/** How often each target joined, as this entry was told. */
		final Map<String, Integer> joined = new HashMap<>();

		/** How often each run of a target joined, as this entry was told. */
		final Map<TargetRun, Integer> runsJoined = new HashMap<>();

		final Set<String> takingWork = new HashSet<>();

		/** The data centres that are evacuated, as this entry was told. */
		final Set<String> evacuated = new TreeSet<>();

		/** Whether the store turns this entry away. */
		boolean turnedAway;

		/** Whether the answer to the next watch that may be held for long is lost. */
		boolean losesNextLongWatch;

		/** How many answers to readings of all items are lost from now on. */
		int lostPages;

		/** Whether signs of life that this entry asks for get no answer. */
		boolean losesProbes;

		/** Whether this entry hears no other. */
		boolean deaf;

		private final SharedReading reading;

		private final Source source;

		Entry(String name, String dataCentre) {
			this.name = name;
			this.dataCentre = dataCentre;
			this.reading = new SharedReading(name, dataCentre, this::others,
					(n) -> MembershipWorld.this.tellNear(this, n), (n) -> MembershipWorld.this.tellFarAway(this, n));
			this.source = new Source(this);
			this.store = new FollowedStore(this.source, SETTINGS, this, this, (p) -> {
			}, this.reading, MembershipWorld.this.timers, MembershipWorld.this.random.split(), new AtOnce(), (e) -> {
			});
		}

		Set<String> knownIds() {
			Set<String> ids = new TreeSet<>();
			this.store.directory().all().forEach((t) -> ids.add(t.id()));
			return ids;
		}

		// The form in which a state is handed over tells no revision of an item.
		private void adopt(Entry giver, long at) {
			List<StoreItem> handed = giver.store.follower()
				.knownItems()
				.stream()
				.map((i) -> new StoreItem(i.key(), i.value()))
				.toList();
			this.store.follower().adopt(handed, at, MembershipWorld.this.now);
		}

		// The run that is known of each target.
		Map<String, Long> knownStarts() {
			Map<String, Long> runs = new TreeMap<>();
			this.store.directory().all().forEach((t) -> runs.put(t.id(), t.startMillis().orElse(-1)));
			return runs;
		}

		private int others() {
			return (int) MembershipWorld.this.entries.stream()
				.filter((e) -> e.dataCentre.equals(this.dataCentre))
				.count() - 1;
		}

		private void hear(Entry from, StoreNews news) {
			if (this.deaf) {
				return;
			}
			if (news.kind() == StoreNews.Kind.QUESTION) {
				this.reading.answer(news)
					.ifPresent((a) -> MembershipWorld.this.timers.at(MembershipWorld.this.now + 2,
							(t) -> from.hear(this, a)));
				return;
			}
			this.reading.heard(news, MembershipWorld.this.now);
			this.store.follower().told(news, MembershipWorld.this.now);
		}

		@Override
		public void evacuated(String dataCentre) {
			this.evacuated.add(dataCentre);
		}

		@Override
		public void takenBack(String dataCentre) {
			this.evacuated.remove(dataCentre);
		}

		@Override
		public void listed(ListedTarget target) {
			// Not looked at.
		}

		@Override
		public void joined(ListedTarget target) {
			this.joined.merge(target.id(), 1, Integer::sum);
			this.runsJoined.merge(target.run(), 1, Integer::sum);
			this.takingWork.add(target.id());
		}

		@Override
		public void leaving(ListedTarget target, LeavingCause cause) {
			this.takingWork.remove(target.id());
		}

		@Override
		public void gone(ListedTarget target) {
			this.takingWork.remove(target.id());
		}

	}

	private final class Source implements ServingSource, FollowOutputs {

		private final Entry entry;

		private Supplier<StoreFollower> follower;

		private long watchCall;

		Source(Entry entry) {
			this.entry = entry;
		}

		@Override
		public FollowOutputs calls(Supplier<StoreFollower> given) {
			this.follower = given;
			return this;
		}

		@Override
		public void readPage(long call, Optional<String> afterKey) {
			if (!this.entry.turnedAway && this.entry.lostPages > 0) {
				this.entry.lostPages--;
				MembershipWorld.this.calls++;
				return;
			}
			answer(call, (t) -> {
				List<StoreItem> all = MembershipWorld.this.items();
				long at = MembershipWorld.this.revision;
				MembershipWorld.this.timers.at(t + 1 + MembershipWorld.this.random.nextInt(30),
						(later) -> this.follower.get().pageRead(call, all, false, at, later));
			});
		}

		@Override
		public void watch(long call, long since, long waitMillis) {
			this.watchCall = call;
			if (this.entry.losesNextLongWatch && waitMillis > SETTINGS.gapMillis()) {
				this.entry.losesNextLongWatch = false;
				MembershipWorld.this.calls++;
				return;
			}
			answer(call, (t) -> lookFor(call, since, t + waitMillis, t));
		}

		// Resets the connection of the watch that is open.
		void cut() {
			this.follower.get().failed(this.watchCall, "reset", MembershipWorld.this.now);
		}

		private void lookFor(long call, long since, long end, long t) {
			if (!MembershipWorld.this.up || this.entry.turnedAway) {
				return;
			}
			if (since < MembershipWorld.this.forgottenUpTo) {
				this.follower.get().historyGone(call, t);
				return;
			}
			List<StoreChange> changes = MembershipWorld.this.quiet ? List.of()
					: MembershipWorld.this.history.stream().filter((c) -> c.revision() > since).toList();
			if (!changes.isEmpty() || t >= end) {
				long at = MembershipWorld.this.quiet ? since : MembershipWorld.this.revision;
				MembershipWorld.this.timers.at(t + STORE_MILLIS,
						(later) -> this.follower.get().watched(call, changes, at, later));
				return;
			}
			boolean[] isAnswered = new boolean[1];
			Consumer<Long> again = (when) -> {
				if (!isAnswered[0]) {
					isAnswered[0] = true;
					lookFor(call, since, end, when);
				}
			};
			MembershipWorld.this.waitingWatches.add(() -> again.accept(MembershipWorld.this.now));
			MembershipWorld.this.timers.at(end, again::accept);
		}

		// The store refuses or says nothing where it is down or turns the entry away.
		private void answer(long call, Timers.TimedAction reply) {
			MembershipWorld.this.calls++;
			MembershipWorld.this.timers.at(MembershipWorld.this.now + STORE_MILLIS, (t) -> {
				if (MembershipWorld.this.up && !this.entry.turnedAway) {
					reply.run(t);
				}
				else if (MembershipWorld.this.random.nextBoolean()) {
					this.follower.get().failed(call, "refused", t);
				}
			});
		}

		@Override
		public void probe() {
			MembershipWorld.this.probes++;
			MembershipWorld.this.timers.at(MembershipWorld.this.now + STORE_MILLIS, (t) -> {
				if (MembershipWorld.this.up && !this.entry.turnedAway && !this.entry.losesProbes) {
					this.follower.get().probed(MembershipWorld.this.revision, t);
				}
			});
		}

		@Override
		public void abandon() {
			// Late answers are passed over by their number.
		}

		@Override
		public boolean isPlan(String key) {
			return key.equals("plan");
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
			return Either.right(new ServingPlan(1, List.of(),
					Map.of("s", new ServiceSpec("s", Integer.MAX_VALUE, 0, Optional.empty())), Map.of(),
					new RequestLimits(1, 1, 1, 1)));
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

	private static final class AtOnce implements BackgroundWork {

		@Override
		public <T> void run(Supplier<T> work, Consumer<T> receiver) {
			receiver.accept(work.get());
		}

	}

}
