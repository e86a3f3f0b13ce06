package dev.laneworks.core.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.time.Timers;

/**
 * Follows a store: reads all items page by page, then watches for changes, and recovers
 * from whatever the store does.
 * <p>
 * Pages are no snapshot, so that the watch begins at the revision of the first page; a
 * change may then be heard of twice, and the listener must take it twice. Calls that fail
 * are made again after a wait that grows and is random in part, since all processes come
 * back at once. Pure code over explicit time; not thread-safe.
 *
 * @since 0.2
 */
public final class StoreFollower {

	private final FollowSettings settings;

	private final FollowOutputs outputs;

	private final FollowListener listener;

	private final Timers timers;

	private final Backoff backoff;

	private final List<StoreItem> pages = new ArrayList<>();

	private long call;

	private boolean open;

	private boolean watching;

	private long revision;

	private long firstRevision = -1;

	private long watchedAt;

	private int failures;

	private long answeredAt;

	private boolean lost;

	/**
	 * Create a follower.
	 * @param settings the times that it calls by
	 * @param outputs makes the calls
	 * @param listener takes what was read
	 * @param timers what is due later
	 * @param backoff the waits after failures
	 */
	public StoreFollower(FollowSettings settings, FollowOutputs outputs, FollowListener listener, Timers timers,
			Backoff backoff) {
		this.settings = settings;
		this.outputs = outputs;
		this.listener = listener;
		this.timers = timers;
		this.backoff = backoff;
	}

	/**
	 * Start to read.
	 * @param now the time in milliseconds
	 */
	public void start(long now) {
		this.answeredAt = now;
		readAnew(now);
	}

	/**
	 * Take a page.
	 * @param number the number of the call
	 * @param items the page's items
	 * @param more whether there are more
	 * @param at the store's revision
	 * @param now the time in milliseconds
	 */
	public void pageRead(long number, List<StoreItem> items, boolean more, long at, long now) {
		if (!answered(number, now)) {
			return;
		}
		this.pages.addAll(items);
		if (this.firstRevision < 0) {
			this.firstRevision = at;
		}
		if (more && !items.isEmpty()) {
			readPage(Optional.of(items.get(items.size() - 1).key()), now);
			return;
		}
		List<StoreItem> all = List.copyOf(this.pages);
		this.pages.clear();
		this.revision = this.firstRevision;
		this.watching = true;
		this.listener.all(all, now);
		watch(now);
	}

	/**
	 * Take changes.
	 * @param number the number of the call
	 * @param changes the changes, none if the wait was over
	 * @param at the revision to go on from
	 * @param now the time in milliseconds
	 */
	public void watched(long number, List<StoreChange> changes, long at, long now) {
		if (!answered(number, now)) {
			return;
		}
		this.revision = Math.max(this.revision, at);
		if (!changes.isEmpty()) {
			this.listener.changed(changes, now);
		}
		long next = Math.max(now, this.watchedAt + this.settings.gapMillis());
		later(next, this::watch);
	}

	/**
	 * Take that the store has forgotten the changes since the revision seen last.
	 * @param number the number of the call
	 * @param now the time in milliseconds
	 */
	public void historyGone(long number, long now) {
		if (answered(number, now)) {
			later(now + this.backoff.spread(this.settings.gapMillis()), this::readAnew);
		}
	}

	/**
	 * Take that a call failed.
	 * @param number the number of the call
	 * @param cause what was seen
	 * @param now the time in milliseconds
	 */
	public void failed(long number, String cause, long now) {
		if (number != this.call || !this.open) {
			return;
		}
		this.open = false;
		this.failures++;
		if (!this.lost) {
			this.lost = true;
			this.listener.lost(cause);
		}
		long next = now + this.backoff.delayMillis(this.failures);
		if (this.watching) {
			later(next, this::watch);
		}
		else {
			later(next, this::readAnew);
		}
	}

	private boolean answered(long number, long now) {
		if (number != this.call || !this.open) {
			return false;
		}
		this.open = false;
		this.failures = 0;
		if (this.lost) {
			this.lost = false;
			this.listener.regained(now - this.answeredAt, now);
		}
		this.answeredAt = now;
		return true;
	}

	private void readAnew(long now) {
		this.watching = false;
		this.pages.clear();
		this.firstRevision = -1;
		readPage(Optional.empty(), now);
	}

	private void readPage(Optional<String> afterKey, long now) {
		begin(now + this.settings.answerMillis());
		this.outputs.readPage(this.call, afterKey);
	}

	private void watch(long now) {
		this.watchedAt = now;
		// The first watch after a failure is short: it tells soon whether the store is
		// back.
		long wait = (this.failures > 0) ? this.settings.gapMillis() : this.settings.waitMillis();
		begin(now + wait + this.settings.answerMillis());
		this.outputs.watch(this.call, this.revision, wait);
	}

	private void begin(long answerDue) {
		this.call++;
		this.open = true;
		long number = this.call;
		this.timers.at(answerDue, (t) -> {
			if (number == this.call && this.open) {
				this.outputs.abandon();
				failed(number, "no answer within its time", t);
			}
		});
	}

	private void later(long due, Timers.TimedAction action) {
		long number = this.call;
		this.timers.at(due, (t) -> {
			if (number == this.call && !this.open) {
				action.run(t);
			}
		});
	}

}
