package dev.laneworks.core.follow;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
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
 * none has to agree: two readers at once cost calls and nothing else. Not thread-safe.
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

	private final String instance;

	private final long group;

	private final Consumer<StoreNews> teller;

	private final IntSupplier others;

	private final Map<String, Heard> readers = new HashMap<>();

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
	public void tell(long from, long to, List<StoreChange> changes) {
		if (isShared()) {
			this.teller.accept(new StoreNews(this.instance, from, to, changes));
		}
	}

	private record Heard(long revision, long at) {

	}

}
