package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.DrainingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.poison.BrokenConnections;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.poison.SuspectParts;
import dev.laneworks.core.poison.SuspectRequests;
import dev.laneworks.core.time.Timers;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Detects requests and prompt parts that crash targets, and quarantines them.
 * <p>
 * A request becomes suspect if its connection broke, or ended a close-delimited answer,
 * at a target that was not draining and the target is then found to have crashed: it
 * refuses connections, or its list entry ends. The parts of its prompt become suspect
 * with it, unless the target had answered for a while. Exempt are generations that have
 * sent events for a while, since a harmful request crashes its target early, and requests
 * at a draining target, which was expected to end.
 */
final class PoisonRequestGuard {

	/**
	 * Delays after a broken connection at which the target is checked: at once, since the
	 * same request may be about to reach another entry, and later for a target that
	 * closes its connections before its port.
	 */
	private static final List<Long> CHECK_DELAYS_MILLIS = List.of(0L, 50L, 300L);

	/**
	 * Delays of the checks while earlier ones of the same target are due, or after an
	 * answer that ended with its connection, whose target is probed in any case.
	 */
	private static final List<Long> LATER_CHECK_DELAYS_MILLIS = List.of(300L);

	/**
	 * Retry-after time in milliseconds while the checks of the last target are pending;
	 * longer than the last check's delay.
	 */
	private static final long PENDING_CHECK_RETRY_AFTER_MILLIS = 500;

	private static final long MILLIS_PER_SECOND = 1_000;

	private final SuspectRequests suspects;

	private final SuspectParts suspectParts;

	private final TargetDirectory directory;

	private final Predicate<ListedTarget> announcedDraining;

	private final CallCompletion completion;

	private final Timers timers;

	private final TargetProbes probes;

	private final AuditSink audit;

	private final boolean enabled;

	/** Incarnations that announced their shutdown. */
	private final Set<TargetIncarnation> announcedShutdown = new HashSet<>();

	private final BrokenConnections brokenConnections = new BrokenConnections();

	/** The time of the last scheduled check of each target. */
	private final Map<TargetIncarnation, Long> lastCheckAt = new HashMap<>();

	PoisonRequestGuard(SuspectRequests suspects, SuspectParts suspectParts, TargetDirectory directory,
			Predicate<ListedTarget> announcedDraining, CallCompletion completion, Timers timers, TargetProbes probes,
			AuditSink audit, boolean enabled) {
		this.suspects = suspects;
		this.suspectParts = suspectParts;
		this.directory = directory;
		this.announcedDraining = announcedDraining;
		this.completion = completion;
		this.timers = timers;
		this.probes = probes;
		this.audit = audit;
		this.enabled = enabled;
	}

	// Targets whose connections just broke count as crashed until they are checked, so
	// that the request cannot crash one more target meanwhile.
	boolean isQuarantined(DirectCall call, long now) {
		return this.enabled && (quarantineLeftMillis(call.request().digest(), now).isPresent()
				|| this.suspectParts.remainingQuarantineMillis(call.prompt(), now).isPresent());
	}

	void handleOpened(DirectCall call) {
		if (this.enabled) {
			this.suspectParts.recordReceived(call.prompt());
		}
	}

	// To be called when a request that is not quarantined is written to a target.
	void handleSent(DirectCall call, long now) {
		if (this.enabled) {
			this.suspectParts.recordSent(call.prompt(), now);
		}
	}

	private OptionalLong quarantineLeftMillis(RequestDigest digest, long now) {
		OptionalLong left = this.suspects.remainingQuarantineMillis(digest, now);
		Set<TargetIncarnation> incarnations = this.suspects.crashedTargets(digest);
		int crashesMissing = this.suspects.remainingCrashes(digest);
		if (left.isPresent() || incarnations.isEmpty() || crashesMissing == 0) {
			return left;
		}
		long possiblyCrashed = this.brokenConnections.targetsOf(digest, now)
			.stream()
			.filter((r) -> !incarnations.contains(r))
			.count();
		return (possiblyCrashed >= crashesMissing) ? OptionalLong.of(PENDING_CHECK_RETRY_AFTER_MILLIS)
				: OptionalLong.empty();
	}

	/**
	 * Refuse a call whose request is quarantined, with the time left as its retry-after
	 * time.
	 * @param call the call to check
	 * @param now the current time in milliseconds of the monotonic clock
	 * @return {@code true} if the call was refused
	 */
	boolean refuse(DirectCall call, long now) {
		if (!this.enabled) {
			return false;
		}
		return refuseForPrompt(call, now) || refuseForRequest(call, now);
	}

	private boolean refuseForPrompt(DirectCall call, long now) {
		OptionalLong left = this.suspectParts.remainingQuarantineMillis(call.prompt(), now);
		if (left.isEmpty()) {
			return false;
		}
		String groups = this.suspectParts.groupsOf(call.prompt())
			.stream()
			.map((g) -> g.label() + " after " + g.crashTimes().size() + " crashes")
			.collect(Collectors.joining(", "));
		this.completion.refuse(call, RefusalReason.QUARANTINED,
				new NoTargetReason("targets crashed while executing requests with the same prompt parts: " + groups
						+ "; it is not sent to any target for " + seconds(left.getAsLong()) + " s", left),
				now);
		return true;
	}

	private boolean refuseForRequest(DirectCall call, long now) {
		RequestDigest digest = call.request().digest();
		OptionalLong left = quarantineLeftMillis(digest, now);
		if (left.isEmpty()) {
			return false;
		}
		String runs = this.suspects.crashedTargets(digest)
			.stream()
			.map(TargetIncarnation::id)
			.sorted()
			.collect(Collectors.joining(", "));
		this.completion
			.refuse(call, RefusalReason.QUARANTINED,
					new NoTargetReason("targets crashed while executing this request, digest " + digest.label() + ": "
							+ runs + "; it is not sent to any target for " + seconds(left.getAsLong()) + " s", left),
					now);
		return true;
	}

	// Rounds up.
	private static long seconds(long millis) {
		return (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
	}

	/**
	 * Handle the broken connection of an attempt that was sent, and check whether its
	 * target is alive.
	 * @param call the call of the attempt
	 * @param attempt the attempt whose connection broke
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleBrokenConnection(DirectCall call, Attempt attempt, long now) {
		awaitCrash(call, attempt, false, now);
	}

	/**
	 * Handle a close-delimited answer. It counts as broken off if its target is found to
	 * have crashed. A success clears its request once the target has outlived it.
	 * @param call the call of the attempt
	 * @param attempt the attempt whose connection ended
	 * @param isSuccess whether the target did not report a failure of its own
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleCloseDelimitedAnswer(DirectCall call, Attempt attempt, boolean isSuccess, long now) {
		awaitCrash(call, attempt, isSuccess, now);
	}

	private void awaitCrash(DirectCall call, Attempt attempt, boolean mayClear, long now) {
		ListedTarget target = attempt.target();
		boolean wasExpectedToStay = this.directory.isAvailable(target) || this.directory.isFormerIncarnation(target);
		if (!this.enabled || call.isHarmless() || !wasExpectedToStay
				|| this.announcedShutdown.contains(target.incarnation()) || this.announcedDraining.test(target)) {
			return;
		}
		BrokenConnections.Broken broken = new BrokenConnections.Broken(call.request().digest(), call.request().id(),
				call.prompt(), call.beganAt(), now, mayClear);
		this.brokenConnections.add(broken, target.incarnation());
		scheduleChecks(target, mayClear ? LATER_CHECK_DELAYS_MILLIS : CHECK_DELAYS_MILLIS, now);
	}

	// Each connection that ended is followed by a check that a crashing process no longer
	// passes.
	private void scheduleChecks(ListedTarget target, List<Long> delaysMillis, long now) {
		this.lastCheckAt.values().removeIf((t) -> t < now);
		Optional<Long> last = Optional.ofNullable(this.lastCheckAt.get(target.incarnation()));
		if (last.filter((t) -> t >= now + BrokenConnections.CRASHING_MILLIS).isPresent()) {
			return;
		}
		List<Long> delays = last.isPresent() ? LATER_CHECK_DELAYS_MILLIS : delaysMillis;
		this.lastCheckAt.put(target.incarnation(), now + delays.get(delays.size() - 1));
		delays.forEach((m) -> this.timers.schedule(now + m, (t) -> this.probes.start(target, t)));
	}

	/**
	 * Handle a refused connection, which shows that the target has crashed.
	 * @param target the target that refused the connection
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleRefusedConnection(ListedTarget target, long now) {
		recordCrash(target, "it refuses connections", now);
	}

	/**
	 * Handle the answer of another process at the address of a target, which shows that
	 * the target has crashed.
	 * @param target the target
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleReplacedProcess(ListedTarget target, long now) {
		recordCrash(target, "another process answers at its address", now);
	}

	/**
	 * Handle an established connection, which shows that the target was alive when it was
	 * ordered.
	 * @param target the target that accepted the connection
	 * @param probe the probe that connected
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleReachable(ListedTarget target, Probe probe, long now) {
		this.brokenConnections.connectionAccepted(target.incarnation(), probe.startedAt())
			.stream()
			.filter(BrokenConnections.Broken::mayClear)
			.forEach((b) -> {
				this.suspects.recordCompletion(b.digest(), b.brokenAt());
				b.beganAt().ifPresent((began) -> this.suspectParts.recordSuccess(b.prompt(), began, now));
			});
	}

	/**
	 * Handle a target that is draining or has ended. Unless it announced this itself or
	 * by rejecting a request, it counts as crashed under the requests whose connections
	 * broke before.
	 * @param target the target whose list entry changed
	 * @param cause the reason that was observed
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleDraining(ListedTarget target, DrainingCause cause, long now) {
		switch (cause) {
			case VANISHED, LAPSED, ADDRESS_TAKEN, STARTED_AGAIN ->
				recordCrash(target, "the target list reports " + cause, now);
			case SAID_SO, SAID_SO_WHEN_ASKED, REFUSED -> {
				this.announcedShutdown.add(target.incarnation());
				this.brokenConnections.remove(target.incarnation());
			}
		}
	}

	/**
	 * Handle a target that is no longer listed. If a newer incarnation replaced it, it
	 * counts as crashed.
	 * @param target the removed target
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void handleRemoved(ListedTarget target, long now) {
		if (this.directory.isFormerIncarnation(target)) {
			recordCrash(target, "another incarnation is listed", now);
		}
		this.announcedShutdown.remove(target.incarnation());
	}

	/**
	 * Record that a target completed a request, or executed it for so long that it is
	 * harmless.
	 * @param call the call to clear
	 * @param attempt the attempt at the target
	 * @param now the current time in milliseconds of the monotonic clock
	 */
	void recordCompleted(DirectCall call, Attempt attempt, long now) {
		if (this.enabled) {
			this.suspects.recordCompletion(call.request().digest(), now);
			this.suspectParts.recordSuccess(call.prompt(), call.beganAt().orElse(attempt.sentAt()), now);
		}
	}

	// Clears the request of a generation that has sent events for long enough.
	void handleEvent(DirectCall call, Attempt attempt, long now) {
		if (!call.isHarmless() && now - attempt.firstEventAt() >= this.suspects.settings().clearAfterMillis()) {
			call.markHarmless();
			recordCompleted(call, attempt, now);
		}
	}

	private void recordCrash(ListedTarget target, String evidence, long now) {
		List<BrokenConnections.Broken> requests = this.brokenConnections.takeAfterCrash(target.incarnation(), now);
		for (BrokenConnections.Broken request : requests) {
			boolean isNew = this.suspects.recordCrash(request.digest(), target.incarnation(), request.brokenAt(), now);
			this.audit.record(AuditEvent.of(AuditKind.SUSPECTED, request.requestId(), target.id(),
					"the target crashed while executing it, " + evidence + "; digest " + request.digest().label() + ", "
							+ this.suspects.crashedTargets(request.digest()).size() + " crashes so far"
							+ (isNew ? "" : ", already recorded")));
		}
		List<BrokenConnections.Broken> suspectPrompts = requests.stream()
			.filter(BrokenConnections.Broken::isPromptSuspect)
			.toList();
		suspectPrompts.stream()
			.mapToLong(BrokenConnections.Broken::brokenAt)
			.min()
			.ifPresent((at) -> this.suspectParts.recordCrash(target.incarnation(), at,
					suspectPrompts.stream().map(BrokenConnections.Broken::prompt).toList(), now));
	}

}
