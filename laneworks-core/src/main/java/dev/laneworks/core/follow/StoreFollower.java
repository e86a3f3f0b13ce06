package dev.laneworks.core.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.time.Timers;

/**
 * Follows a store: reads all items page by page, then watches for changes, and recovers
 * from whatever the store does.
 * <p>
 * Pages are no snapshot, so that the watch begins at the revision of the first page; a
 * change may then be heard of twice, and the listener must take it twice. Calls that fail
 * are made again after a wait that grows and is random in part, since all processes come
 * back at once. Where another process reads for this one no call is made: changes are
 * taken as it tells them, and a gap in them is filled by a call. Pure code over explicit
 * time; not thread-safe.
 *
 * @since 0.2
 */
public final class StoreFollower {

	/**
	 * How long after the store's return items may still be missing which come back, in
	 * milliseconds; the platform tells about two seconds.
	 */
	private static final long RETURNING_MILLIS = 2_000;

	/**
	 * How long a silence of the store entries of targets outlive, in milliseconds: they
	 * go after three missed heartbeats, which is 3.6 s where one comes each 1.2 s. Where
	 * the store was silent for less, what is missing in it has left; taking it for lapsed
	 * would hold leavings up.
	 */
	private static final long OUTLIVED_MILLIS = 1_000;

	/**
	 * How long behind its time a call counts as forgotten, in milliseconds. Where it is
	 * only late, since the process was held up, one reading of all items is made too
	 * many.
	 */
	private static final long STALLED_MILLIS = 1_000;

	/** How often it is looked whether another process still reads, in milliseconds. */
	private static final long REST_MILLIS = 50;

	/**
	 * How long the store may hold a watch that others rely on, in milliseconds: a reader
	 * whose link has gone silent is found out within this time and three signs of life,
	 * well below the two seconds in which a plan has to be in force.
	 */
	private static final long SHARED_HOLD_MILLIS = 700;

	private final FollowSettings settings;

	private final FollowOutputs outputs;

	private final FollowListener listener;

	private final Timers timers;

	private final Backoff backoff;

	private final SharedReading reading;

	private final List<StoreItem> pages = new ArrayList<>();

	private final KnownItems known = new KnownItems();

	private final StoreSilence silence = new StoreSilence();

	private final Lag lag = new Lag();

	private final CallSlot call;

	private boolean watching;

	/** Whether all items were read once. */
	private boolean hasRead;

	/** Whether another process reads for this one. */
	private boolean resting;

	private long firstRevision = -1;

	/** Whether the listener threw, so that something it was told may be missing there. */
	private boolean mustReadAnew;

	/** How many signs of life in a row found no call open and none due. */
	private int stalledSigns;

	/** When all items were begun to be read last. */
	private long readAt;

	private int failures;

	private long answeredAt;

	private long regainedAt = Long.MIN_VALUE / 2;

	private long returnHeardAt = Long.MIN_VALUE / 2;

	private boolean lost;

	/**
	 * Create a follower.
	 * @param settings the times that it calls by
	 * @param outputs makes the calls
	 * @param listener takes what was read
	 * @param timers what is due later
	 * @param backoff the waits after failures
	 * @param reading shares the reading with other processes
	 */
	public StoreFollower(FollowSettings settings, FollowOutputs outputs, FollowListener listener, Timers timers,
			Backoff backoff, SharedReading reading) {
		this.settings = settings;
		this.outputs = outputs;
		this.listener = listener;
		this.timers = timers;
		this.call = new CallSlot(timers);
		this.backoff = backoff;
		this.reading = reading;
	}

	/**
	 * Start to read.
	 * @param now the time in milliseconds
	 */
	public void start(long now) {
		this.answeredAt = now;
		this.silence.heard(now);
		readAnew(now);
		signOfLife(now);
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
		// What another process told while the pages were read may be newer than they are.
		boolean isOutdated = this.watching && this.firstRevision < this.known.revision();
		if (!isOutdated) {
			takeAll(all, this.firstRevision, now);
		}
		watch(now);
	}

	private void takeAll(List<StoreItem> all, long at, long now) {
		boolean isOtherHistory = this.hasRead && !StorePosition.areOfOneEra(this.known.revision(), at);
		List<StoreChange> missed = this.hasRead ? this.known.missedOf(all, at) : List.of();
		if (isOtherHistory) {
			this.regainedAt = now;
			this.listener.historyReplaced(this.known.revision(), at, now);
		}
		if (!missed.isEmpty()) {
			this.listener.missed(missed);
		}
		this.watching = true;
		this.hasRead = true;
		this.mustReadAnew = true;
		this.listener.all(this.known.replace(all, at), now);
		this.mustReadAnew = false;
		// What an older copy lacks is not gone: others read it themselves.
		if (!isOtherHistory) {
			this.reading.tellMissed(at, missed, isReturning(now));
		}
	}

	/**
	 * Return the revision up to which this process knows the store.
	 * @return the revision, or empty before all items were read
	 */
	public OptionalLong knownRevision() {
		return this.watching ? OptionalLong.of(this.known.revision()) : OptionalLong.empty();
	}

	/**
	 * Return all items as this process knows them.
	 * @return the items, in the order of their keys
	 */
	public List<StoreItem> knownItems() {
		return this.known.items();
	}

	/**
	 * Return how long ago this process last heard of the store.
	 * @param now the time in milliseconds
	 * @return milliseconds
	 */
	public long ageMillis(long now) {
		return now - this.answeredAt;
	}

	/**
	 * Take that the store answered a probe. A watch that says nothing of a change begins
	 * anew: it would end by its time limit only, and work would be sent for as long to
	 * targets that have left. So does one that waits for a store which is back.
	 * @param at the revision of the store, which may be seconds old
	 * @param now the time in milliseconds
	 */
	public void probed(long at, long now) {
		boolean isBack = this.lost && this.silence.isSilent(now);
		this.silence.heard(now);
		if (!this.watching || this.resting) {
			return;
		}
		if (this.call.isOpen() && at > this.known.revision()) {
			expect(now);
		}
		if (isBack && (!this.call.isOpen()
				|| this.call.isWatchUnheard(this.settings.gapMillis() + Lag.OVERDUE_MILLIS, now))) {
			watchAnew(now);
		}
	}

	/**
	 * Take that this process was held up for long. What the store told meanwhile is asked
	 * for at once, on a call of its own: one that was open may have ended unheard, and
	 * its answer would be as old as the pause.
	 * @param now the time in milliseconds
	 */
	public void heldUp(long now) {
		if (this.watching) {
			this.resting = false;
			watchAnew(now);
		}
	}

	/**
	 * Take that an answer has arrived, of which the content is still to be read; it is
	 * waited for.
	 * @param number the number of the call
	 */
	public void answerArrived(long number) {
		this.call.arrived(number);
	}

	/**
	 * Take that a part of an answer has arrived. A call that makes progress is not given
	 * up.
	 * @param number the number of the call
	 * @param now the time in milliseconds
	 */
	public void progressed(long number, long now) {
		this.call.progressed(number, now);
	}

	private void watchAnew(long now) {
		this.outputs.abandon();
		this.failures = Math.max(1, this.failures);
		watch(now);
	}

	/**
	 * Return whether nothing is heard of the store, be it directly or through others, so
	 * that changes would be missed.
	 * @param now the time in milliseconds
	 * @return {@code false} while another process reads for this one
	 */
	public boolean isSilent(long now) {
		return this.hasRead && !this.resting && this.silence.isSilent(now);
	}

	/**
	 * Take all items from another process, before any was read here. The store's word
	 * replaces them as soon as it can be heard.
	 * @param items the items
	 * @param at the revision that they belong to
	 * @param now the time in milliseconds
	 */
	public void adopt(List<StoreItem> items, long at, long now) {
		if (!this.watching) {
			takeAll(items, at, now);
		}
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
		long before = this.known.revision();
		take(changes, at, now);
		if (this.known.revision() > before) {
			this.reading.tell(before, this.known.revision(), changes, isReturning(now));
		}
		long next = Math.max(now, this.call.watchedAt() + this.settings.gapMillis());
		this.call.later(next, this::watchUnlessServed);
	}

	/**
	 * Take what another process told of the store.
	 * @param news the news
	 * @param now the time in milliseconds
	 */
	public void told(StoreNews news, long now) {
		this.silence.heard(now);
		if (news.returning()) {
			heardOfReturn(now);
		}
		if (!this.watching) {
			hearWhileReading(news, now);
			return;
		}
		long revision = this.known.revision();
		if (news.to() < revision) {
			return;
		}
		boolean isComplete = news.to() == revision || (news.from() <= revision && !news.changes().isEmpty());
		if (isComplete) {
			take(news.changes(), news.to(), now);
			if (this.known.revision() > revision) {
				this.reading.remember(revision, this.known.revision(), news.changes());
			}
			passOn(news, revision, now);
			return;
		}
		tellThatBehind(news.to(), now);
		hear(news.changes(), now);
		this.reading.passOn(news, now);
		if (this.resting) {
			this.resting = false;
			watch(now);
		}
		else if (this.lost) {
			this.reading.ask(revision, now);
		}
		else {
			expect(now);
		}
	}

	// What others have read the own watch tells within milliseconds; a watch of which
	// nothing arrives is one whose answer was lost.
	private void expect(long now) {
		long number = this.call.number();
		if (this.lag.expects(number)) {
			expect(number, this.known.revision(), this.lag.waitMillis(), now);
		}
	}

	private void expect(long number, long before, long withinMillis, long now) {
		this.timers.at(now + withinMillis, (t) -> {
			boolean isTold = number != this.call.number() || !this.call.isOpen() || this.known.revision() != before;
			if (isTold) {
				return;
			}
			if (this.call.isWatchUnheard(withinMillis, t)) {
				this.listener.askedAnew(this.lag.watchIsOverdue(), withinMillis);
				watchAnew(t);
				return;
			}
			expect(number, before, withinMillis, t);
		});
	}

	/**
	 * Return for how long this process has known that it lacks changes which others know.
	 * @param now the time in milliseconds
	 * @return milliseconds; 0 if it lacks none
	 */
	public long behindMillis(long now) {
		return this.lag.millis(this.known.revision(), now);
	}

	private void tellThatBehind(long told, long now) {
		long revision = this.known.revision();
		if (this.lag.heard(told, revision, now)) {
			this.listener.behind(revision, told);
		}
	}

	// What this process knew already it has told.
	private void passOn(StoreNews news, long before, long now) {
		if (this.known.revision() > before) {
			this.reading.passOn(news, now);
		}
	}

	// While all items are read anew a change that is told stands for itself: the pages
	// may be older than it.
	private void hearWhileReading(StoreNews news, long now) {
		if (this.hasRead) {
			hear(news.changes(), now);
		}
	}

	/**
	 * Take that the store has forgotten the changes since the revision seen last.
	 * @param number the number of the call
	 * @param now the time in milliseconds
	 */
	public void historyGone(long number, long now) {
		if (answered(number, now)) {
			this.call.later(now + this.backoff.spread(this.settings.gapMillis()), this::readAnew);
		}
	}

	/**
	 * Take that a call failed.
	 * @param number the number of the call
	 * @param cause what was seen
	 * @param now the time in milliseconds
	 */
	public void failed(long number, String cause, long now) {
		if (!this.call.end(number, now)) {
			return;
		}
		this.failures++;
		if (!this.lost) {
			this.lost = true;
			this.listener.lost(cause);
		}
		long next = now + this.backoff.delayMillis(this.failures);
		if (this.watching) {
			this.call.later(next, this::watchUnlessServed);
		}
		else {
			this.call.later(next, this::readAnew);
		}
	}

	// Changes behind a gap are heard at once, since an engine's leaving can't wait for
	// the rest: that may be a large plan, which takes a small instance up to a second.
	// They count as unknown until they are read in their order.
	private void hear(List<StoreChange> changes, long now) {
		pass(this.known.hear(changes), now);
	}

	private boolean answered(long number, long now) {
		if (!this.call.end(number, now)) {
			return false;
		}
		this.failures = 0;
		this.lag.answered();
		regain(this.silence.answered(now) >= OUTLIVED_MILLIS, now);
		return true;
	}

	private void regain(boolean mayHaveBeenAway, long now) {
		if (this.lost) {
			this.lost = false;
			if (mayHaveBeenAway) {
				this.regainedAt = now;
			}
			this.listener.regained(now - this.answeredAt, mayHaveBeenAway, now);
		}
		this.answeredAt = now;
	}

	private boolean isReturning(long now) {
		return now - this.regainedAt < RETURNING_MILLIS;
	}

	// A process that follows the store itself knows better whether it was away.
	private void heardOfReturn(long now) {
		if (isDeaf(now) && now - this.returnHeardAt >= RETURNING_MILLIS) {
			this.returnHeardAt = now;
			this.listener.returnHeard(now);
		}
	}

	// Whether the store is out of reach, or its answer overdue.
	private boolean isDeaf(long now) {
		return this.lost || this.call.isPastWait(SharedReading.SIGN_MILLIS, now);
	}

	// Changes known already are passed over, since a change may be told twice and late.
	private void take(List<StoreChange> changes, long at, long now) {
		pass(this.known.advance(changes, at), now);
	}

	private void pass(List<StoreChange> fresh, long now) {
		if (fresh.isEmpty()) {
			return;
		}
		boolean before = this.mustReadAnew;
		this.mustReadAnew = true;
		this.listener.changed(fresh, now);
		this.mustReadAnew = before;
	}

	// Another process that is known to follow the store stands for an answer of it.
	private void watchUnlessServed(long now) {
		this.resting = this.reading.isServed(this.known.revision(), now);
		if (!this.resting) {
			watch(now);
			return;
		}
		this.failures = 0;
		regain(this.silence.takeLongest(now) >= OUTLIVED_MILLIS, now);
		this.call.later(now + REST_MILLIS, this::watchUnlessServed);
	}

	private void signOfLife(long now) {
		this.timers.at(now + SharedReading.SIGN_MILLIS, this::signOfLife);
		goOnIfStalled(now);
		probeIfQuiet(now);
		if (this.watching && this.call.isOpen() && !isDeaf(now) && !isSilent(now)) {
			this.reading.tell(this.known.revision(), this.known.revision(), List.of(), isReturning(now));
		}
		else if (this.resting) {
			this.reading.passOnSign(this.known.revision(), now);
		}
	}

	// A listener that throws ends the step that was to begin the next call, and may not
	// have taken all it was told; both are read again. A process that was held up finds
	// calls late for one sign of life.
	private void goOnIfStalled(long now) {
		boolean isStalled = this.call.isForgotten(STALLED_MILLIS, now);
		this.stalledSigns = isStalled ? this.stalledSigns + 1 : 0;
		boolean isIncomplete = this.mustReadAnew && now - this.readAt >= STALLED_MILLIS;
		if (isIncomplete || this.stalledSigns > 1) {
			this.stalledSigns = 0;
			this.outputs.abandon();
			readAnew(now);
		}
	}

	private void probeIfQuiet(long now) {
		if (this.hasRead && !this.resting && (this.call.isOpen() || this.lost) && this.silence.askNow(now)) {
			this.outputs.probe();
		}
	}

	private void readAnew(long now) {
		this.watching = false;
		this.resting = false;
		this.readAt = now;
		this.pages.clear();
		this.firstRevision = -1;
		readPage(Optional.empty(), now);
	}

	private void readPage(Optional<String> afterKey, long now) {
		this.outputs.readPage(begin(now + this.settings.answerMillis(), now), afterKey);
	}

	private void watch(long now) {
		// The first watch after a failure is short: it tells soon whether the store is
		// back.
		long wait = (this.failures > 0) ? this.settings.gapMillis() : holdMillis();
		long number = begin(now + wait + this.settings.answerMillis(), now);
		this.call.watches(wait, now);
		this.outputs.watch(number, this.known.revision(), wait);
	}

	private long holdMillis() {
		return this.reading.isShared() ? Math.min(SHARED_HOLD_MILLIS, this.settings.waitMillis())
				: this.settings.waitMillis();
	}

	private long begin(long answerDue, long now) {
		return this.call.begin(answerDue, this.settings.answerMillis(), (t) -> {
			this.outputs.abandon();
			failed(this.call.number(), "no answer within its time", t);
		}, now);
	}

}
