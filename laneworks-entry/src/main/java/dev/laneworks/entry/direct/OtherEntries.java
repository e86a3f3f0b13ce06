package dev.laneworks.entry.direct;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.backpressure.TargetsInNeed;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.dispatch.CopyTurn;
import dev.laneworks.core.dispatch.EntryRanks;
import dev.laneworks.core.dispatch.RetryWindow;
import dev.laneworks.core.dispatch.TargetBeliefs;
import dev.laneworks.core.follow.SharedReading;
import dev.laneworks.core.follow.StoreNews;
import dev.laneworks.core.gossip.ChangeReach;
import dev.laneworks.core.gossip.EntryNews;
import dev.laneworks.core.gossip.Gossip;
import dev.laneworks.core.gossip.GossipOutputs;
import dev.laneworks.core.gossip.GossipSettings;
import dev.laneworks.core.gossip.NeedsNews;
import dev.laneworks.core.gossip.ServiceSpending;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.handover.StatePiece;
import dev.laneworks.core.handover.StateQuestion;
import dev.laneworks.core.mechanism.Mechanism;
import dev.laneworks.core.mechanism.Mechanisms;
import dev.laneworks.core.poison.SuspectReport;
import dev.laneworks.wire.NewsListener;
import dev.laneworks.wire.NewsSocket;

/**
 * What this entry knows of the others, and tells them.
 * <p>
 * Carries the gossip over the network, takes turns with the others at copying, and tells
 * those of the same data centre what was read of the platform's store. Used on the I/O
 * thread alone, but for {@link #listen} and {@link #count()}.
 */
final class OtherEntries implements GossipOutputs, CopyTurn, EntryRanks {

	private final Mechanisms mechanisms;

	private final String ownAddress;

	private final TargetBeliefs beliefs;

	private final RetryWindow retries;

	private final EventLoop loop;

	private final Gossip gossip;

	private final SharedReading reading;

	/** Addresses at which entries may hear news. */
	private final Set<String> seeds;

	private Consumer<StoreNews> storeListener = (n) -> {
	};

	private Consumer<TargetRun> leavingListener = (t) -> {
	};

	private Consumer<SuspectReport> suspectListener = (r) -> {
	};

	private Predicate<TargetRun> listed = (t) -> false;

	private Optional<TargetsInNeed> needs = Optional.empty();

	private Optional<StateHandover> handover = Optional.empty();

	/** Opened by the main thread before anything is sent on the I/O thread. */
	private volatile NewsSocket socket;

	OtherEntries(DirectSettings settings, TargetBeliefs beliefs, RetryWindow retries, EventLoop loop,
			RandomGenerator random, AuditSink audit) {
		this.mechanisms = settings.mechanisms();
		this.ownAddress = text(settings.news());
		this.beliefs = beliefs;
		this.retries = retries;
		this.loop = loop;
		this.seeds = seeds(settings);
		this.gossip = new Gossip(GossipSettings.defaults(), settings.instance(), settings.dataCentre(), this.ownAddress,
				this.seeds, this, loop.timers(), random, audit);
		this.reading = new SharedReading(settings.instance(), settings.dataCentre(), this::sharingReaders,
				(n) -> tellOfStore(this.gossip.nearBy(), n), (n) -> tellOfStore(
						this.gossip.firstOfOtherDataCentres(SharedReading.TOLD_IN_EACH_GROUP, SharedReading::rank), n));
		if (this.mechanisms.use(Mechanism.ENTRY_NEWS)) {
			beliefs.onChange((target, change) -> this.gossip.changed(target.run(), reach(change), loop.now()));
		}
	}

	// Entries of other data centres hear of work each three seconds otherwise, and would
	// all find the same distant engine empty meanwhile.
	private static ChangeReach reach(TargetBeliefs.Change change) {
		return switch (change) {
			case AWAITED -> ChangeReach.CONCERNED;
			case LEAVING -> ChangeReach.ALL;
			case BEGUN -> ChangeReach.WIDE;
			case OTHER -> ChangeReach.NEAR;
		};
	}

	// Opens the socket unless it is open; to be called before the start.
	void listen(InetSocketAddress address) {
		if (this.socket == null) {
			this.socket = new NewsSocket(address, new Receiver());
		}
	}

	// How this entry shares the reading of the store with others of its data centre.
	SharedReading reading() {
		return this.reading;
	}

	// Sets who gives and takes the store's state.
	void onState(StateHandover given) {
		this.handover = Optional.of(given);
	}

	// Where those may be who know the store's state.
	List<String> possible() {
		Set<String> addresses = new HashSet<>(this.seeds);
		addresses.addAll(this.gossip.nearBy());
		addresses.remove(this.ownAddress);
		return List.copyOf(addresses);
	}

	void ask(String address, StateQuestion question) {
		this.socket.send(socketAddress(address), question);
	}

	// Sets who hears what others read of the store.
	void onStoreNews(Consumer<StoreNews> listener) {
		this.storeListener = listener;
	}

	// Sets who hears of requests under which targets ended at other entries.
	void onSuspect(Consumer<SuspectReport> listener) {
		this.suspectListener = listener;
	}

	// Where all other entries that are known hear news.
	List<String> addresses() {
		return this.gossip.addresses();
	}

	// Before the socket is open no other entry is known.
	void tellSuspects(Collection<String> addresses, List<SuspectReport> reports) {
		this.socket.sendSuspects(addresses.stream().map(OtherEntries::socketAddress).toList(), reports);
	}

	void start(long now) {
		if (this.mechanisms.use(Mechanism.ENTRY_NEWS)) {
			this.gossip.start(now);
		}
	}

	void end(long now) {
		this.gossip.end(now);
	}

	// Whether it is up to this entry to ask the engines of a data centre.
	boolean asksIn(String dataCentre) {
		return this.gossip.asksIn(dataCentre, SharedReading::rank, this.loop.now());
	}

	// Sets who hears of targets that told other entries of their leaving.
	void onLeaving(Consumer<TargetRun> listener) {
		this.leavingListener = listener;
	}

	// Sets what entries tell each other of targets in need, and which runs are listed.
	void share(TargetsInNeed shared, Predicate<TargetRun> isListed) {
		this.needs = Optional.of(shared);
		this.listed = isListed;
	}

	// Tells all other entries at once what a target said that it needs.
	void tellNeeds(TargetRun target) {
		if (this.mechanisms.use(Mechanism.ENTRY_NEWS)) {
			this.gossip.changed(target, ChangeReach.ALL, this.loop.now());
		}
	}

	// How many other entries are known.
	int count() {
		return this.gossip.peers();
	}

	// The work that they have at a target; empty while none of them is known.
	Optional<WorkAtTarget> workAt(TargetRun target) {
		return this.gossip.others(target);
	}

	// What they spent of the retry budget; empty while none of them is known.
	Optional<ServiceSpending> spending(String service, long windowMillis, long now) {
		return this.gossip.spendingOfOthers(service, windowMillis, now);
	}

	@Override
	public int entries() {
		return this.gossip.peers() + 1;
	}

	// Where among the entries this one stands for a target, from 0 to 1.
	double phase(String target) {
		return (before(target) + 0.5) / entries();
	}

	@Override
	public int before(String target) {
		return this.gossip.before(target);
	}

	@Override
	public boolean isOurs(ListedTarget source, long sinceNotice, long now) {
		return !this.mechanisms.use(Mechanism.COPY_TURNS) || this.gossip.isFirstToMove(source.run(), sinceNotice, now);
	}

	@Override
	public boolean isQuiet(ListedTarget source, ListedTarget destination) {
		return !this.gossip.isCopying(source.run()) && !this.gossip.isCopying(destination.run());
	}

	@Override
	public void send(String address, EntryNews told) {
		this.socket.send(socketAddress(address), told);
	}

	@Override
	public void heardLeaving(TargetRun target) {
		this.leavingListener.accept(target);
	}

	@Override
	public void heardNeeds(NeedsNews news) {
		this.needs.ifPresent((n) -> n.heard(news, this.listed, this.loop.now()));
	}

	@Override
	public NeedsNews needs() {
		return this.needs.map((n) -> n.news(this.loop.now())).orElse(NeedsNews.NONE);
	}

	@Override
	public List<WorkAtTarget> ownWork() {
		return this.beliefs.ownWork();
	}

	@Override
	public List<ServiceSpending> ownSpending() {
		return this.retries.spending(this.loop.now());
	}

	private static Set<String> seeds(DirectSettings settings) {
		return settings.seeds()
			.stream()
			.map((a) -> a.substring(0, a.lastIndexOf(':') + 1) + settings.news().getPort())
			.collect(Collectors.toSet());
	}

	private void heardOfStore(String from, StoreNews news) {
		if (news.kind() == StoreNews.Kind.QUESTION) {
			this.reading.answer(news).ifPresent((a) -> this.socket.send(List.of(socketAddress(from)), a));
			return;
		}
		this.reading.heard(news, this.loop.now());
		this.storeListener.accept(news);
	}

	private int sharingReaders() {
		return this.mechanisms.use(Mechanism.SHARED_READING) ? this.gossip.sameDataCentre().size() : 0;
	}

	// Before the socket is open there is nobody to tell.
	private void tellOfStore(List<String> addresses, StoreNews news) {
		if (this.socket != null && !addresses.isEmpty()) {
			this.socket.send(addresses.stream().map(OtherEntries::socketAddress).toList(), news);
		}
	}

	private static InetSocketAddress socketAddress(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private static String text(InetSocketAddress address) {
		return address.getAddress().getHostAddress() + ':' + address.getPort();
	}

	/**
	 * Brings what others tell to the I/O thread.
	 */
	private final class Receiver implements NewsListener {

		@Override
		public void work(String from, EntryNews news) {
			OtherEntries.this.loop
				.run(() -> OtherEntries.this.gossip.received(from, news, OtherEntries.this.loop.now()));
		}

		@Override
		public void store(String from, StoreNews news) {
			OtherEntries.this.loop.run(() -> heardOfStore(from, news));
		}

		@Override
		public void question(String from, StateQuestion question) {
			OtherEntries.this.loop.run(() -> OtherEntries.this.handover.stream()
				.flatMap((h) -> h.answer(question, OtherEntries.this.loop.now()).stream())
				.forEach((p) -> OtherEntries.this.socket.send(socketAddress(from), p)));
		}

		@Override
		public void suspects(List<SuspectReport> reports) {
			OtherEntries.this.loop.run(() -> reports.forEach(OtherEntries.this.suspectListener));
		}

		@Override
		public void piece(String from, StatePiece piece) {
			OtherEntries.this.loop.run(() -> OtherEntries.this.handover
				.ifPresent((h) -> h.received(from, piece, OtherEntries.this.loop.now())));
		}

	}

}
