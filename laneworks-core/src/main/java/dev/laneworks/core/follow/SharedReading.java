package dev.laneworks.core.follow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import dev.laneworks.core.routing.Rendezvous;

/**
 * Shares the reading of a store among the processes of one group, such as a data centre,
 * and among groups.
 * <p>
 * Whoever reads tells the group what it read, and now and then that it still does. A
 * process that hears a reader of higher rank leaves the reading to it, so that one reader
 * remains; when that one has been silent for a few signs of life, or is behind, the
 * others read for themselves, and again one of them remains. The reader of a group in
 * turn leaves the reading to that of another group which ranks higher among all, and
 * passes on to its own group what it hears from there: calls don't grow with the groups,
 * and news between them go to two processes of each. No process is elected and none has
 * to agree: two readers at once cost calls and nothing else. Changes are told to all near
 * by even where each reads for itself: a process that the store turns away hears of them
 * so, and may ask for those that it missed. Not thread-safe.
 *
 * @since 0.2
 */
public final class SharedReading {

	/** How often a reader gives a sign of life, in milliseconds. */
	public static final long SIGN_MILLIS = 150;

	/**
	 * After how long without a word a reader is taken for gone, in milliseconds; three
	 * signs of life, of which two may be lost.
	 */
	private static final long SILENCE_MILLIS = 480;

	/**
	 * With fewer others than this each process reads for itself: a reader that goes deaf
	 * would cost more than the calls saved.
	 */
	private static final int FEWEST_OTHERS = 3;

	/**
	 * How many processes of each other group are told by a reader: the one that passes
	 * news on, and the one that would take its place.
	 */
	public static final int TOLD_IN_EACH_GROUP = 2;

	/** What the readers of all groups are ranked by. */
	static final String ALL_GROUPS = "all groups";

	private static final long ALL_GROUPS_KEY = Rendezvous.hash(ALL_GROUPS);

	/** The least time between two questions, in milliseconds. */
	private static final long ASK_MILLIS = 300;

	/**
	 * The most changes remembered for those who ask; the store itself keeps twenty
	 * seconds, in which a fleet of sixty targets makes fewer.
	 */
	private static final int MOST_REMEMBERED = 200;

	private final String instance;

	private final String group;

	private final long groupKey;

	private final Consumer<StoreNews> teller;

	private final Consumer<StoreNews> distantTeller;

	private final IntSupplier others;

	/** The processes of this group that read, or pass on what others read. */
	private final Map<String, Heard> readers = new HashMap<>();

	/** The processes of other groups that read the store themselves. */
	private final Map<String, Heard> distantReaders = new HashMap<>();

	/** The changes that this process read or passed on, without a gap behind readFrom. */
	private final Deque<StoreChange> read = new ArrayDeque<>();

	private long readFrom;

	private long readTo = -1;

	private long askedAt = Long.MIN_VALUE / 2;

	/**
	 * Create a process's part.
	 * @param instance the process's name
	 * @param group the name of the group
	 * @param others tells how many other processes of the group are known
	 * @param teller sends news to the other processes of the group
	 * @param distantTeller sends news to {@link #TOLD_IN_EACH_GROUP} processes of each
	 * other group, the first ones by {@link #rank}
	 */
	public SharedReading(String instance, String group, IntSupplier others, Consumer<StoreNews> teller,
			Consumer<StoreNews> distantTeller) {
		this.instance = Objects.requireNonNull(instance, "instance must not be null");
		this.group = Objects.requireNonNull(group, "group must not be null");
		this.groupKey = Rendezvous.hash(group);
		this.others = others;
		this.teller = teller;
		this.distantTeller = distantTeller;
	}

	/**
	 * Return a process's rank in its group, to be compared as unsigned.
	 * @param group the name of the group
	 * @param instance the process's name
	 * @return the rank; the highest one reads, or passes on what it hears
	 */
	public static long rank(String group, String instance) {
		return Rendezvous.weight(Rendezvous.hash(group), instance);
	}

	/**
	 * Take that another process reads, or passes on what it hears. Only what a process of
	 * another group reads itself counts here: two that passed on each other's news would
	 * both rely on it.
	 * @param news what it told
	 * @param now the time in milliseconds
	 */
	public void heard(StoreNews news, long now) {
		if (news.reader().equals(this.instance)) {
			return;
		}
		if (isOfOwnGroup(news)) {
			this.readers.put(news.reader(), new Heard(news.to(), now));
		}
		else if (news.kind() == StoreNews.Kind.READ) {
			this.distantReaders.put(news.reader(), new Heard(news.to(), now));
		}
	}

	/**
	 * Return whether others rely on what this process reads, so that it has to find out
	 * soon when it hears nothing any more.
	 * @return whether there are others enough
	 */
	public boolean isShared() {
		return this.others.getAsInt() >= FEWEST_OTHERS;
	}

	/**
	 * Return whether another process reads for this one now, so that it need not read
	 * itself.
	 * @param revision the revision that this process knows
	 * @param now the time in milliseconds
	 * @return {@code false} if nobody does, or if the reader is behind
	 */
	public boolean isServed(long revision, long now) {
		if (!isShared()) {
			return false;
		}
		return isAnyHigher(this.readers, this.groupKey, revision, now)
				|| isAnyHigher(this.distantReaders, ALL_GROUPS_KEY, revision, now);
	}

	/**
	 * Return whether this process is the one that tells its group, be it by reading or by
	 * passing on.
	 * @param now the time in milliseconds
	 * @return {@code false} if one of higher rank does, or if the group is small
	 */
	public boolean isFirstOfGroup(long now) {
		return isShared() && !isAnyHigher(this.readers, this.groupKey, Long.MIN_VALUE, now);
	}

	private boolean isAnyHigher(Map<String, Heard> heard, long key, long revision, long now) {
		heard.values().removeIf((h) -> now - h.at > SILENCE_MILLIS);
		long own = Rendezvous.weight(key, this.instance);
		return heard.entrySet()
			.stream()
			.anyMatch((r) -> r.getValue().revision >= revision
					&& Long.compareUnsigned(Rendezvous.weight(key, r.getKey()), own) > 0);
	}

	private boolean isOfOwnGroup(StoreNews news) {
		return news.group().equals(this.group);
	}

	/**
	 * Ask others for what happened behind a revision, because the store is out of reach.
	 * @param revision the revision that this process knows
	 * @param now the time in milliseconds
	 */
	public void ask(long revision, long now) {
		if (now - this.askedAt >= ASK_MILLIS) {
			this.askedAt = now;
			this.teller.accept(news(revision, revision, List.of(), false, StoreNews.Kind.QUESTION));
		}
	}

	/**
	 * Return the answer to another process that asks.
	 * @param question its news
	 * @return all that was read behind the revision that it knows, or empty if this
	 * process has neither read that nor passed it on
	 */
	public Optional<StoreNews> answer(StoreNews question) {
		if (question.kind() != StoreNews.Kind.QUESTION || this.read.isEmpty() || question.from() < this.readFrom
				|| question.from() >= this.readTo) {
			return Optional.empty();
		}
		List<StoreChange> missed = this.read.stream().filter((c) -> c.revision() > question.from()).toList();
		return Optional.of(news(question.from(), this.readTo, missed, false, StoreNews.Kind.READ));
	}

	/**
	 * Tell others what was read.
	 * @param from the revision before the changes
	 * @param to the revision now known
	 * @param changes the changes between them, none for a sign of life
	 * @param returning whether the store is back only lately
	 */
	public void tell(long from, long to, List<StoreChange> changes, boolean returning) {
		remember(from, to, changes);
		StoreNews read = news(from, to, changes, returning, StoreNews.Kind.READ);
		if (isShared() || !changes.isEmpty()) {
			this.teller.accept(read);
		}
		if (isShared()) {
			this.distantTeller.accept(read);
		}
	}

	/**
	 * Tell others what a reading of all items found that this process had not heard of.
	 * It stands for itself, like changes behind a gap: a process that can't reach the
	 * store hears so of a leaving that no watch has told.
	 * @param at the revision that was read
	 * @param missed the changes, none to tell nothing
	 * @param returning whether the store is back only lately
	 */
	public void tellMissed(long at, List<StoreChange> missed, boolean returning) {
		if (missed.isEmpty()) {
			return;
		}
		StoreNews found = news(at, at, missed, returning, StoreNews.Kind.READ);
		this.teller.accept(found);
		if (isShared()) {
			this.distantTeller.accept(found);
		}
	}

	/**
	 * Tell the own group what a reader of another one told, if that is up to this
	 * process.
	 * @param told what was told
	 * @param now the time in milliseconds
	 */
	public void passOn(StoreNews told, long now) {
		boolean isOfReader = !isOfOwnGroup(told) && told.kind() == StoreNews.Kind.READ;
		if (isOfReader && !told.changes().isEmpty() && isFirstOfGroup(now)) {
			if (told.to() != this.readTo) {
				remember(told.from(), told.to(), told.changes());
			}
			this.teller
				.accept(news(told.from(), told.to(), told.changes(), told.returning(), StoreNews.Kind.PASSED_ON));
		}
	}

	/**
	 * Tell the own group that this process, which relies on another group's reader, still
	 * hears it, if that is up to this process.
	 * @param revision the revision that this process knows
	 * @param now the time in milliseconds
	 */
	public void passOnSign(long revision, long now) {
		if (isFirstOfGroup(now)) {
			this.teller.accept(news(revision, revision, List.of(), false, StoreNews.Kind.PASSED_ON));
		}
	}

	private StoreNews news(long from, long to, List<StoreChange> changes, boolean returning, StoreNews.Kind kind) {
		return new StoreNews(this.instance, this.group, from, to, changes, returning, kind);
	}

	/**
	 * Remember changes for those who ask for what they missed. What was told by others is
	 * remembered too: of entries that hear each change from whoever is first, none has
	 * read all.
	 * @param from the revision before the changes
	 * @param to the revision that they lead to
	 * @param changes all changes between them
	 */
	void remember(long from, long to, List<StoreChange> changes) {
		if (from != this.readTo) {
			this.read.clear();
			this.readFrom = from;
		}
		this.readTo = to;
		this.read.addAll(changes);
		while (this.read.size() > MOST_REMEMBERED) {
			this.readFrom = this.read.removeFirst().revision();
		}
	}

	private record Heard(long revision, long at) {

	}

}
