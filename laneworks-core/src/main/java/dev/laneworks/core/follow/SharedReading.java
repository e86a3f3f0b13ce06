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
 * Shares the reading of a store among the processes of one group, such as a data centre.
 * <p>
 * Whoever reads tells the group what it read, and now and then that it still does. A
 * process that hears a reader of higher rank leaves the reading to it, so that one reader
 * remains; when that one has been silent for a few signs of life, or is behind, the
 * others read for themselves, and again one of them remains. No process is elected and
 * none has to agree: two readers at once cost calls and nothing else. Changes are told to
 * all near by even where each reads for itself: a process that the store turns away hears
 * of them so, and may ask for those that it missed. Not thread-safe.
 *
 * @since 0.2
 */
public final class SharedReading implements ReadingShare {

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

	/** The least time between two questions, in milliseconds. */
	private static final long ASK_MILLIS = 300;

	/**
	 * The most changes remembered for those who ask; the store itself keeps twenty
	 * seconds, in which a fleet of sixty targets makes fewer.
	 */
	private static final int MOST_REMEMBERED = 200;

	private final String instance;

	private final long group;

	private final Consumer<StoreNews> teller;

	private final IntSupplier others;

	private final Map<String, Heard> readers = new HashMap<>();

	/** The changes that this process read itself, without a gap behind readFrom. */
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
	 */
	public SharedReading(String instance, String group, IntSupplier others, Consumer<StoreNews> teller) {
		this.instance = Objects.requireNonNull(instance, "instance must not be null");
		this.group = Rendezvous.hash(group);
		this.others = others;
		this.teller = teller;
	}

	/**
	 * Take that another process reads.
	 * @param news what it told
	 * @param now the time in milliseconds
	 */
	public void heard(StoreNews news, long now) {
		if (!news.reader().equals(this.instance)) {
			this.readers.put(news.reader(), new Heard(news.to(), now));
		}
	}

	@Override
	public boolean isShared() {
		return this.others.getAsInt() >= FEWEST_OTHERS;
	}

	@Override
	public boolean isServed(long revision, long now) {
		if (!isShared()) {
			return false;
		}
		this.readers.values().removeIf((h) -> now - h.at > SILENCE_MILLIS);
		long own = Rendezvous.weight(this.group, this.instance);
		return this.readers.entrySet()
			.stream()
			.anyMatch((r) -> r.getValue().revision >= revision
					&& Long.compareUnsigned(Rendezvous.weight(this.group, r.getKey()), own) > 0);
	}

	@Override
	public void ask(long revision, long now) {
		if (now - this.askedAt >= ASK_MILLIS) {
			this.askedAt = now;
			this.teller.accept(new StoreNews(this.instance, revision, revision, List.of(), true));
		}
	}

	/**
	 * Return the answer to another process that asks.
	 * @param question its news
	 * @return all that was read behind the revision that it knows, or empty if this
	 * process has not read that itself
	 */
	public Optional<StoreNews> answer(StoreNews question) {
		if (!question.asks() || this.read.isEmpty() || question.from() < this.readFrom
				|| question.from() >= this.readTo) {
			return Optional.empty();
		}
		List<StoreChange> missed = this.read.stream().filter((c) -> c.revision() > question.from()).toList();
		return Optional.of(new StoreNews(this.instance, question.from(), this.readTo, missed, false));
	}

	@Override
	public void tell(long from, long to, List<StoreChange> changes) {
		remember(from, to, changes);
		if (isShared() || !changes.isEmpty()) {
			this.teller.accept(new StoreNews(this.instance, from, to, changes, false));
		}
	}

	private void remember(long from, long to, List<StoreChange> changes) {
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
