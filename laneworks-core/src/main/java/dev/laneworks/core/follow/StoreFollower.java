package dev.laneworks.core.follow;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import dev.laneworks.core.retry.Backoff;
import dev.laneworks.core.time.Timers;

/**
 * Keeps a copy of a store's items up to date: reads all items page by page, then watches
 * for changes.
 * <p>
 * The pages are not one snapshot, so the watch starts at the revision of the first page.
 * The listener may therefore receive a change twice and must handle it idempotently.
 * Failed calls are retried after an exponential backoff with jitter. While another
 * process watches the store for this one, this one makes no calls: it applies the store
 * updates that it receives and makes a call only to fill a gap. Takes the time as a
 * parameter and performs no I/O. Not thread-safe.
 *
 * @since 0.2
 */
public final class StoreFollower implements StoreContact {

	/**
	 * How long after an outage items may still be missing that their owners write again,
	 * in milliseconds. The platform names about two seconds.
	 */
	private static final long RECOVERY_MILLIS = 2_000;

	/**
	 * The shortest outage after which missing target entries count as expired, in
	 * milliseconds. Entries expire after three missed heartbeats, which is 3.6 s at an
	 * interval of 1.2 s; an entry that is missing after a shorter outage was removed by
	 * its target, and counting it as expired would delay the draining.
	 */
	private static final long MIN_EXPIRY_OUTAGE_MILLIS = 1_000;

	/**
	 * How long the next call may be overdue before all items are read again, in
	 * milliseconds. If it is only late, because the process was held up, this costs one
	 * reading too many.
	 */
	private static final long STALL_TIMEOUT_MILLIS = 1_000;

	/**
	 * The interval for checking whether another process still watches the store, in
	 * milliseconds.
	 */
	private static final long WATCHER_CHECK_MILLIS = 50;

	/**
	 * The longest time the store may hold a watch that other processes depend on, in
	 * milliseconds. A broken connection of the watcher is detected within this time and
	 * three heartbeats, well below the two seconds within which a plan must take effect.
	 */
	private static final long SHARED_WAIT_MILLIS = 700;

	/**
	 * How long this process may lack changes that others have, without receiving them
	 * from the store, before it requests them from another process, in milliseconds.
	 */
	private static final long CATCH_UP_DELAY_MILLIS = 300;

	/**
	 * The largest answer to a watch, as a multiple of all items. A larger one holds
	 * several versions of the same items, and reading all items again is shorter.
	 */
	private static final int MAX_ANSWER_RATIO = 2;

	/**
	 * The maximum doublings of the time for an answer, after calls that timed out. They
	 * let a store answer that has become slow.
	 */
	private static final int MAX_TIMEOUT_DOUBLINGS = 2;

	/**
	 * The consecutive calls whose answers count as lost rather than late, once the store
	 * has been read.
	 */
	private static final int MAX_LOST_ANSWERS = 2;

	private final FollowSettings settings;

	private final StoreCalls outputs;

	private final StoreListener listener;

	private final Timers timers;

	private final Backoff backoff;

	private final SharedWatch watch;

	private final List<StoreItem> pageItems = new ArrayList<>();

	private final ItemCache cache = new ItemCache();

	private final SilenceDetector silence = new SilenceDetector();

	private final LagTracker lag = new LagTracker();

	private final CallTracker call;

	private boolean synced;

	/** Whether all items have been read at least once. */
	private boolean hasReadAll;

	/** Whether another process watches the store for this one. */
	private boolean delegated;

	private long firstRevision = -1;

	/**
	 * Whether the listener threw an exception and may have missed an item or a change.
	 */
	private boolean mustReadAgain;

	/**
	 * The consecutive heartbeats at which no call was open and the next one was overdue.
	 */
	private int stalledHeartbeats;

	/** When the last read of all items started, in milliseconds. */
	private long readStartedAt;

	private int failures;

	/**
	 * The consecutive calls that timed out, without one that was answered within the
	 * first timeout.
	 */
	private int timeouts;

	/** The cause of the last failed call. */
	private String lastFailure = "";

	private long lastContactAt;

	private long recoveredAt = Long.MIN_VALUE / 2;

	private long recoveryReportedAt = Long.MIN_VALUE / 2;

	private boolean unreachable;

	/**
	 * Create a follower.
	 * @param settings the wait and timeout settings of the calls
	 * @param outputs makes the calls
	 * @param listener receives the items and changes
	 * @param timers schedules timeouts and later calls
	 * @param backoff the delays after failed calls
	 * @param watch shares the watch with other processes
	 */
	public StoreFollower(FollowSettings settings, StoreCalls outputs, StoreListener listener, Timers timers,
			Backoff backoff, SharedWatch watch) {
		this.settings = settings;
		this.outputs = outputs;
		this.listener = listener;
		this.timers = timers;
		this.call = new CallTracker(timers);
		this.backoff = backoff;
		this.watch = watch;
	}

	/**
	 * Start reading the store.
	 * @param now the current time in milliseconds
	 */
	public void start(long now) {
		this.lastContactAt = now;
		this.silence.recordContact(now);
		readAll(now);
		heartbeat(now);
	}

	/**
	 * Handle a page of items.
	 * @param number the number of the call
	 * @param items the items of the page
	 * @param more whether more pages follow
	 * @param at the revision of the store
	 * @param now the current time in milliseconds
	 */
	public void pageRead(long number, List<StoreItem> items, boolean more, long at, long now) {
		if (!completeCall(number, now)) {
			return;
		}
		this.pageItems.addAll(items);
		if (this.firstRevision < 0) {
			this.firstRevision = at;
		}
		if (more && !items.isEmpty()) {
			readPage(Optional.of(items.get(items.size() - 1).key()), now);
			return;
		}
		List<StoreItem> all = List.copyOf(this.pageItems);
		this.pageItems.clear();
		// Updates received from other processes during the read may be newer than its
		// pages.
		boolean isOutdated = this.synced && this.firstRevision < this.cache.revision();
		if (!isOutdated) {
			List<StoreChange> missed = applyAll(all, this.firstRevision, now);
			this.watch.sendMissed(this.firstRevision, missed, isRecovering(now));
		}
		watch(now);
	}

	// Returns the differences that other processes may have missed too. Items that an
	// older copy of the store lacks are not among them: other processes read the copy
	// themselves.
	private List<StoreChange> applyAll(List<StoreItem> all, long at, long now) {
		boolean isOtherEra = this.hasReadAll && !StorePosition.isSameEra(this.cache.revision(), at);
		List<StoreChange> missed = this.hasReadAll ? this.cache.missedChanges(all, at) : List.of();
		if (isOtherEra) {
			this.recoveredAt = now;
			this.listener.storeRestored(this.cache.revision(), at, now);
		}
		if (!missed.isEmpty()) {
			this.listener.changesMissed(missed);
		}
		this.synced = true;
		this.hasReadAll = true;
		this.mustReadAgain = true;
		this.listener.itemsRead(this.cache.replace(all, at), now);
		this.mustReadAgain = false;
		reportCaughtUp(now);
		return isOtherEra ? List.of() : missed;
	}

	/**
	 * Return the revision up to which this process has all changes.
	 * @return the revision, or empty while the items are being read
	 */
	public OptionalLong knownRevision() {
		return this.synced ? OptionalLong.of(this.cache.revision()) : OptionalLong.empty();
	}

	/**
	 * Return the items at the known revision, without changes received out of order.
	 * @return the items in the order of their keys
	 */
	public List<StoreItem> knownItems() {
		return this.cache.items();
	}

	/**
	 * Return the age of this process's view: the time since the store, or another process
	 * that watches it, was last known to be reachable.
	 * @param now the current time in milliseconds
	 * @return the age in milliseconds
	 */
	public long ageMillis(long now) {
		return now - this.lastContactAt;
	}

	/**
	 * Handle the store's answer to a probe. An idle call is restarted when the store
	 * returns after a silence, and an idle watch if the probe shows a newer revision.
	 * @param at the revision of the store, which may be seconds old
	 * @param now the current time in milliseconds
	 */
	public void probeAnswered(long at, long now) {
		boolean isBack = this.unreachable && this.silence.isSilent(now);
		this.silence.recordContact(now);
		if (!this.synced) {
			if (isBack && this.call.isIdle(LagTracker.OVERDUE_MILLIS, now)) {
				this.outputs.cancel();
				readAll(now);
			}
			return;
		}
		if (this.delegated) {
			return;
		}
		if (this.call.isOpen() && at > this.cache.revision()) {
			expectChange(now);
		}
		if (isBack && (!this.call.isOpen()
				|| this.call.isWatchIdle(this.settings.minIntervalMillis() + LagTracker.OVERDUE_MILLIS, now))) {
			restartWatch(now);
		}
	}

	/**
	 * Handle the resume after a process pause. The watch is restarted at once on a new
	 * call, because the answer to the open one may be lost or as old as the pause.
	 * @param now the current time in milliseconds
	 */
	public void processResumed(long now) {
		if (this.synced) {
			this.delegated = false;
			restartWatch(now);
		}
	}

	/**
	 * Handle that this process was late for long in all since the last contact. The watch
	 * is restarted as after a pause, unless its answer is arriving.
	 * @param now the current time in milliseconds
	 * @since 0.8
	 */
	public void processDelayed(long now) {
		if (!this.call.isReceiving(CATCH_UP_DELAY_MILLIS, now)) {
			processResumed(now);
		}
	}

	/**
	 * Record that the answer to a call has arrived and is still being parsed, so that the
	 * call does not count as idle.
	 * @param number the number of the call
	 */
	public void answerArrived(long number) {
		this.call.markArrived(number);
	}

	/**
	 * Record that a part of an answer has arrived, which extends the call's timeout.
	 * @param number the number of the call
	 * @param now the current time in milliseconds
	 */
	public void answerProgressed(long number, long now) {
		this.call.recordProgress(number, now);
	}

	/**
	 * Cancel the open call, since the process ends.
	 */
	public void stop() {
		this.outputs.cancel();
	}

	private void restartWatch(long now) {
		this.outputs.cancel();
		this.failures = Math.max(1, this.failures);
		watch(now);
	}

	/**
	 * Determine whether the store has been silent for so long that changes may be missed.
	 * @param now the current time in milliseconds
	 * @return {@code true} if neither the store nor another process has sent anything
	 * recently; {@code false} while another process watches the store for this one
	 */
	public boolean isSilent(long now) {
		return this.hasReadAll && !this.delegated && this.silence.isSilent(now);
	}

	@Override
	public long silentMillis(long now) {
		return this.silence.silentMillis(now);
	}

	/**
	 * Record that this process was late. The store's silence in that time is not taken
	 * for an outage.
	 * @param since when it should have acted, in milliseconds
	 * @param now the current time in milliseconds
	 * @return the time in which it was late since the last contact with the store or a
	 * process that reads it, in milliseconds
	 * @since 0.8
	 */
	public long recordLateness(long since, long now) {
		this.call.recordLateness(this.silence.recordLateness(since, now));
		return this.silence.latenessMillis();
	}

	/**
	 * Apply a snapshot of all items from another process, unless this process already has
	 * all changes up to its revision. A later read replaces the items.
	 * @param items the items
	 * @param at the revision of the snapshot
	 * @param ageMillis the age of the other process's view in milliseconds
	 * @param now the current time in milliseconds
	 * @return {@code false} if the snapshot contains nothing new
	 */
	public boolean applySnapshot(List<StoreItem> items, long at, long ageMillis, long now) {
		if (this.hasReadAll && at <= this.cache.revision()) {
			return false;
		}
		if (!this.hasReadAll) {
			this.silence.recordFirstContact(now - ageMillis);
		}
		applyAll(items, at, now);
		return true;
	}

	/**
	 * Return the revision up to which this process has all changes, also while all items
	 * are read again.
	 * @return the revision, or empty before the first read or snapshot
	 * @since 0.7
	 */
	@Override
	public OptionalLong appliedRevision() {
		return this.hasReadAll ? OptionalLong.of(this.cache.revision()) : OptionalLong.empty();
	}

	/**
	 * Handle the answer to a watch.
	 * @param number the number of the call
	 * @param changes the changes in their order; empty if the wait elapsed without one
	 * @param at the revision to continue from
	 * @param now the current time in milliseconds
	 */
	public void watchAnswered(long number, List<StoreChange> changes, long at, long now) {
		if (!completeCall(number, now)) {
			return;
		}
		long before = this.cache.revision();
		applyChanges(changes, at, now);
		if (this.cache.revision() > before) {
			this.watch.sendChanges(before, this.cache.revision(), changes, isRecovering(now));
		}
		long next = Math.max(now, this.call.watchStartedAt() + this.settings.minIntervalMillis());
		this.call.schedule(next, this::watchUnlessDelegated);
	}

	/**
	 * Handle a store update from another process.
	 * @param update the update
	 * @param now the current time in milliseconds
	 */
	public void updateReceived(StoreUpdate update, long now) {
		this.silence.recordContact(now);
		if (update.recovering()) {
			reportRecovery(now);
		}
		if (!this.synced) {
			applyWhileReading(update, now);
			return;
		}
		long revision = this.cache.revision();
		if (update.to() < revision) {
			return;
		}
		boolean isComplete = update.to() == revision || (update.from() <= revision && !update.changes().isEmpty());
		if (isComplete) {
			applyChanges(update.changes(), update.to(), now);
			if (this.cache.revision() > revision) {
				this.watch.recordChanges(revision, this.cache.revision(), update.changes());
			}
			forwardIfNew(update, revision, now);
			return;
		}
		reportBehind(update.to(), now);
		applyOutOfOrder(update.changes(), now);
		this.watch.forward(update, now);
		if (this.delegated) {
			this.delegated = false;
			watch(now);
		}
		else if (this.unreachable) {
			this.watch.requestMissed(revision, now);
		}
		else {
			expectChange(now);
		}
	}

	// A change that others have should reach this process's watch within milliseconds.
	// If the watch stays idle, its answer was lost.
	private void expectChange(long now) {
		long number = this.call.number();
		if (this.lag.startExpecting(number)) {
			expectChange(number, this.cache.revision(), this.lag.overdueMillis(), now);
		}
	}

	private void expectChange(long number, long before, long withinMillis, long now) {
		this.timers.schedule(now + withinMillis, (t) -> {
			boolean isObsolete = number != this.call.number() || !this.call.isOpen() || this.cache.revision() != before;
			if (isObsolete) {
				return;
			}
			if (this.call.isWatchIdle(withinMillis, t)) {
				this.listener.watchRestarted(this.lag.recordOverdue(), withinMillis);
				restartWatch(t);
				return;
			}
			expectChange(number, before, withinMillis, t);
		});
	}

	/**
	 * Return how long this process has lacked changes that other processes have.
	 * @param now the current time in milliseconds
	 * @return the time in milliseconds; 0 if it lacks none
	 */
	public long behindMillis(long now) {
		return this.lag.lagMillis(this.cache.revision(), now);
	}

	/**
	 * Determine whether this process lacks changes that other processes have.
	 * @return {@code true} from the first report of a later revision
	 * @since 0.7
	 */
	public boolean isBehind() {
		return this.lag.isBehind(this.cache.revision());
	}

	/**
	 * Determine whether this process lacks changes that other processes have and receives
	 * none of them from the store, so that it depends on another process.
	 * @param now the current time in milliseconds
	 * @return {@code false} while an answer of the store is arriving
	 * @since 0.7
	 */
	public boolean isStalledBehind(long now) {
		return behindMillis(now) >= CATCH_UP_DELAY_MILLIS && !this.call.isReceiving(CATCH_UP_DELAY_MILLIS, now);
	}

	private void reportBehind(long reportedRevision, long now) {
		long revision = this.cache.revision();
		if (this.lag.recordAhead(reportedRevision, revision, now)) {
			this.listener.fellBehind(revision, reportedRevision);
		}
	}

	private void reportCaughtUp(long now) {
		this.lag.recordCaughtUp(this.cache.revision(), now)
			.ifPresent((lagMillis) -> this.listener.caughtUp(this.cache.revision(), lagMillis));
	}

	// An update that changes nothing here was forwarded before.
	private void forwardIfNew(StoreUpdate update, long before, long now) {
		if (this.cache.revision() > before) {
			this.watch.forward(update, now);
		}
	}

	// The changes are applied at once, since the pages being read may be older.
	private void applyWhileReading(StoreUpdate update, long now) {
		if (!this.hasReadAll) {
			return;
		}
		if (update.to() > this.cache.revision()) {
			reportBehind(update.to(), now);
		}
		applyOutOfOrder(update.changes(), now);
	}

	/**
	 * Handle the answer that the store no longer keeps the changes since the requested
	 * revision. All items are read again.
	 * @param number the number of the call
	 * @param now the current time in milliseconds
	 */
	public void historyCompacted(long number, long now) {
		if (completeCall(number, now)) {
			this.call.schedule(now + this.backoff.spread(this.settings.minIntervalMillis()), this::readAll);
		}
	}

	/**
	 * Handle an answer to a watch that is larger than allowed. All items are read again,
	 * since the next answer from the same revision would be larger still.
	 * @param number the number of the call
	 * @param now the current time in milliseconds
	 * @since 0.7
	 */
	public void watchAnswerTooLarge(long number, long now) {
		if (completeCall(number, now)) {
			this.listener.watchAnswerTooLarge(this.cache.revision());
			readAll(now);
		}
	}

	/**
	 * Handle the failure of a call.
	 * @param number the number of the call
	 * @param cause the cause of the failure, for the log
	 * @param now the current time in milliseconds
	 */
	public void failed(long number, String cause, long now) {
		if (!this.call.end(number, now)) {
			return;
		}
		this.failures++;
		reportFailure(cause);
		long next = now + this.backoff.delayMillis(this.failures);
		if (this.synced) {
			this.call.schedule(next, this::watchUnlessDelegated);
		}
		else {
			this.call.schedule(next, this::readAll);
		}
	}

	private void reportFailure(String cause) {
		boolean isOtherCause = !cause.equals(this.lastFailure);
		this.lastFailure = cause;
		if (!this.unreachable) {
			this.unreachable = true;
			this.listener.storeUnreachable(cause);
		}
		else if (isOtherCause) {
			this.listener.callFailedAgain(cause, this.failures);
		}
	}

	// Changes after a gap are applied at once, since a draining target must not wait
	// for a large plan to arrive. They are also read in their order later.
	private void applyOutOfOrder(List<StoreChange> changes, long now) {
		notifyChanged(this.cache.applyOutOfOrder(changes), now);
	}

	private boolean completeCall(long number, long now) {
		boolean isQuick = now - this.call.startedAt() <= this.settings.answerMillis();
		if (!this.call.end(number, now)) {
			return false;
		}
		if (isQuick) {
			this.timeouts = 0;
			this.lag.resetOverdue();
		}
		this.failures = 0;
		boolean wasSilent = this.silence.recordAnswer(now) >= MIN_EXPIRY_OUTAGE_MILLIS;
		// Nothing can have expired before the first read.
		recordReachable(wasSilent && this.hasReadAll, now);
		return true;
	}

	private void recordReachable(boolean mayHaveBeenAway, long now) {
		if (this.unreachable) {
			this.unreachable = false;
			if (mayHaveBeenAway) {
				this.recoveredAt = now;
			}
			this.listener.storeReachable(now - this.lastContactAt, mayHaveBeenAway, now);
		}
		this.lastContactAt = now;
	}

	private boolean isRecovering(long now) {
		return now - this.recoveredAt < RECOVERY_MILLIS;
	}

	// Ignored while this process's own watch works, since it detects an outage itself,
	// and
	// if it had contact meanwhile, since another process may have been cut off alone.
	private void reportRecovery(long now) {
		boolean wasSilent = this.silence.longestMillis() >= MIN_EXPIRY_OUTAGE_MILLIS;
		if (wasSilent && isStoreOverdue(now) && now - this.recoveryReportedAt >= RECOVERY_MILLIS) {
			this.recoveryReportedAt = now;
			this.listener.recoveryReported(now);
		}
	}

	// Whether the store is unreachable, or the answer to the watch is overdue.
	private boolean isStoreOverdue(long now) {
		return this.unreachable || this.call.isWatchOverdue(SharedWatch.HEARTBEAT_MILLIS, now);
	}

	// Changes applied before are skipped, since an update may arrive twice or late.
	private void applyChanges(List<StoreChange> changes, long at, long now) {
		notifyChanged(this.cache.advance(changes, at), now);
		reportCaughtUp(now);
	}

	private void notifyChanged(List<StoreChange> newChanges, long now) {
		if (newChanges.isEmpty()) {
			return;
		}
		boolean before = this.mustReadAgain;
		this.mustReadAgain = true;
		this.listener.itemsChanged(newChanges, now);
		this.mustReadAgain = before;
	}

	// A watching process counts as an answer from the store, unless it has changes that
	// did not arrive here.
	private void watchUnlessDelegated(long now) {
		this.delegated = !isBehind() && this.watch.isServedByOther(this.cache.revision(), now);
		if (!this.delegated) {
			watch(now);
			return;
		}
		this.failures = 0;
		recordReachable(this.silence.resetLongest(now) >= MIN_EXPIRY_OUTAGE_MILLIS, now);
		this.call.schedule(now + WATCHER_CHECK_MILLIS, this::watchUnlessDelegated);
	}

	private void heartbeat(long now) {
		this.timers.schedule(now + SharedWatch.HEARTBEAT_MILLIS, this::heartbeat);
		readAgainIfStalled(now);
		probeIfDue(now);
		if (isStalledBehind(now)) {
			this.watch.requestMissed(this.cache.revision(), now);
		}
		if (isWatching(now)) {
			this.watch.sendChanges(this.cache.revision(), this.cache.revision(), List.of(), isRecovering(now));
		}
		else if (this.delegated) {
			this.watch.forwardHeartbeat(this.cache.revision(), now);
		}
	}

	// Others read a large answer themselves, since it exceeds a message. They must not
	// wait until it has arrived here.
	private boolean isWatching(long now) {
		return this.synced && this.call.isOpen() && !isStoreOverdue(now) && !isSilent(now)
				&& !this.call.isLargeAnswerArriving(SharedWatch.HEARTBEAT_MILLIS, now);
	}

	// A listener that throws prevents the next call from being scheduled and may have
	// missed a change. Both are repaired by reading all items again. After a process
	// pause the call is overdue at one heartbeat only.
	private void readAgainIfStalled(long now) {
		boolean isStalled = this.call.isNextCallOverdue(STALL_TIMEOUT_MILLIS, now);
		this.stalledHeartbeats = isStalled ? this.stalledHeartbeats + 1 : 0;
		boolean isIncomplete = this.mustReadAgain && now - this.readStartedAt >= STALL_TIMEOUT_MILLIS;
		if (isIncomplete || this.stalledHeartbeats > 1) {
			this.stalledHeartbeats = 0;
			this.outputs.cancel();
			readAll(now);
		}
	}

	private void probeIfDue(long now) {
		if (!this.delegated && (this.call.isOpen() || this.unreachable) && this.silence.startProbeIfDue(now)) {
			this.outputs.probe();
		}
	}

	private void readAll(long now) {
		this.synced = false;
		this.delegated = false;
		this.readStartedAt = now;
		this.pageItems.clear();
		this.firstRevision = -1;
		readPage(Optional.empty(), now);
	}

	private void readPage(Optional<String> afterKey, long now) {
		this.outputs.readPage(beginCall(now + answerMillis(), now), afterKey);
	}

	private void watch(long now) {
		// The first watch after a failure is short, to detect soon whether the store is
		// back.
		long wait = (this.failures > 0) ? this.settings.minIntervalMillis() : watchWaitMillis();
		long number = beginCall(now + wait + answerMillis(), now);
		this.call.markWatch(wait, now);
		this.outputs.watch(number, this.cache.revision(), wait, MAX_ANSWER_RATIO * this.cache.characters());
	}

	private long watchWaitMillis() {
		return this.watch.isShared() ? Math.min(SHARED_WAIT_MILLIS, this.settings.waitMillis())
				: this.settings.waitMillis();
	}

	// A start has nothing to lose by waiting. Later, single lost answers are more likely
	// than a store that has become slow.
	private long answerMillis() {
		int slow = this.hasReadAll ? Math.max(0, this.timeouts - MAX_LOST_ANSWERS) : this.timeouts;
		return this.settings.answerMillis() << Math.min(MAX_TIMEOUT_DOUBLINGS, slow);
	}

	private long beginCall(long answerDue, long now) {
		return this.call.begin(answerDue, answerMillis(), (t) -> {
			this.timeouts++;
			this.outputs.cancel();
			failed(this.call.number(), "no answer before the timeout", t);
		}, now);
	}

}
