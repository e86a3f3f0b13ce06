package dev.laneworks.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.backpressure.TargetNeeds;
import dev.laneworks.core.backpressure.TargetsInNeed;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;

/**
 * Tells which targets may be sent a request, and why there is none where that is so.
 * <p>
 * What is left out here is never used, whatever becomes of the request: targets that are
 * leaving, that are withheld, in a data centre being evacuated or in a region that the
 * request may not be served in, and those that are cold, or say that they are in need,
 * and have had all they take for now. What of the rest is better is the chooser's to say.
 *
 * @since 0.3
 */
public final class Eligibility {

	/**
	 * When a caller may come back that finds all targets evacuated, in milliseconds.
	 * Nothing tells when an evacuation ends. Callers wait for up to a third of their
	 * time, which is a second for plain calls and two for short generations: less would
	 * use up their one repetition while nothing can have changed.
	 */
	private static final long EVACUATED_MILLIS = 1_500;

	private final TargetDirectory directory;

	private final TargetBeliefs beliefs;

	private final ColdTargets cold;

	private final TargetsInNeed needs;

	private final Map<String, String> regions;

	/**
	 * Create the rules.
	 * @param directory the targets
	 * @param beliefs what is believed of them
	 * @param cold bounds what cold targets are sent
	 * @param needs bounds what targets are sent that say that they are in need
	 * @param regions the region of each data centre
	 */
	public Eligibility(TargetDirectory directory, TargetBeliefs beliefs, ColdTargets cold, TargetsInNeed needs,
			Map<String, String> regions) {
		this.directory = directory;
		this.beliefs = beliefs;
		this.cold = cold;
		this.needs = needs;
		this.regions = Map.copyOf(regions);
	}

	/**
	 * Return the targets that may be sent a request now.
	 * @param scope which come into question
	 * @param now the time in milliseconds
	 * @return the targets, those that are doubted included
	 */
	public List<ListedTarget> targets(Scope scope, long now) {
		return serving(scope.service()).stream()
			.filter((t) -> !scope.tried().contains(t.id()) && isAllowed(scope, t) && freeInMillis(t, now) <= 0)
			.toList();
	}

	/**
	 * Return the targets of a service that take work at all.
	 * @param service the service's name
	 * @return the targets
	 */
	public List<ListedTarget> serving(String service) {
		List<ListedTarget> serving = this.directory.serving(service);
		return this.needs.isNoneLeaving() ? serving : serving.stream().filter((t) -> !this.needs.isLeaving(t)).toList();
	}

	/**
	 * Return whether a target holds copies: it is listed, it is neither leaving nor
	 * evacuated, and it takes connections, as far as is known. A copy is trusted no more
	 * than the engine that holds it.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return whether copies are safe there
	 */
	public boolean isSound(ListedTarget target, long now) {
		return takesNew(target) && !this.beliefs.isDoubted(target, now);
	}

	/**
	 * Return whether a target takes new work at all: it is listed, and neither leaving,
	 * by the list or its own word, nor evacuated.
	 * @param target the target
	 * @return whether work may be sent there that is not there yet
	 */
	boolean takesNew(ListedTarget target) {
		return this.directory.takesWork(target) && !this.needs.isLeaving(target);
	}

	/**
	 * Return why a request that was to go to a target may not, now that its connection is
	 * up.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return what has become known since the target was chosen, or empty if it may go
	 */
	Optional<String> whyNotAnyMore(ListedTarget target, long now) {
		if (!takesNew(target)) {
			return Optional.of("the target is leaving or evacuated");
		}
		return this.needs.isResting(target, now) ? Optional.of("the target wants rest") : Optional.empty();
	}

	/**
	 * Return whether a generation may go back to a target that it has been at, or go on
	 * at a copy that stands there already.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return {@code false} if the target is withheld, in a data centre that is
	 * evacuated, or rests and has borne enough of that
	 */
	boolean takesReturn(ListedTarget target, long now) {
		return !isEvacuated(target) && this.needs.takesReturn(target, now);
	}

	/**
	 * Return whether a target said in an answer that it is leaving.
	 * @param target the target
	 * @return whether it said so, to this entry or another
	 */
	boolean saidLeaving(ListedTarget target) {
		return this.needs.isLeaving(target);
	}

	/**
	 * Return whether a target may be sent new work, or a generation that goes on at a
	 * copy.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return whether it is sound and has not had all it takes for now
	 */
	public boolean takesWork(ListedTarget target, long now) {
		return isSound(target, now) && freeInMillis(target, now) <= 0;
	}

	/**
	 * Return whether nothing may be sent to a target though it stays.
	 * @param target the target
	 * @return whether its data centre is evacuated, or it is withheld
	 */
	public boolean isEvacuated(ListedTarget target) {
		return this.directory.isEvacuated(target);
	}

	/**
	 * Take for how much longer a target says that it is cold.
	 * @param target the target
	 * @param millis the time in milliseconds; 0 where it is warm
	 * @param now the time in milliseconds
	 */
	void toldCold(ListedTarget target, long millis, long now) {
		this.cold.told(target, millis, now);
	}

	/**
	 * Take what a target says in an answer that it needs.
	 * @param target the target
	 * @param told what it says
	 * @param askedAt when the request was sent that it answers, in milliseconds
	 * @param now the time in milliseconds
	 */
	void told(ListedTarget target, TargetNeeds told, long askedAt, long now) {
		this.needs.told(target, told, askedAt, now);
	}

	/**
	 * Record that a request is sent to a target.
	 * @param target the target
	 * @param now the time in milliseconds
	 */
	void sent(ListedTarget target, long now) {
		this.cold.sent(target, now);
		this.needs.sent(target, now);
	}

	/**
	 * Return how many targets may not be sent a request now because they are cold or in
	 * need, and have had all they take.
	 * @param scope which come into question
	 * @param now the time in milliseconds
	 * @return the count
	 */
	long leftOut(Scope scope, long now) {
		if (this.needs.isQuiet() && this.cold.isQuiet()) {
			return 0;
		}
		return serving(scope.service()).stream().filter((t) -> isAllowed(scope, t) && freeInMillis(t, now) > 0).count();
	}

	/**
	 * Return why no target is left for a request.
	 * @param scope which come into question
	 * @param now the time in milliseconds
	 * @return the reason, and when to come back
	 */
	Shortage shortage(Scope scope, long now) {
		List<ListedTarget> staying = this.directory.staying(scope.service())
			.stream()
			.filter((t) -> !this.needs.isLeaving(t))
			.toList();
		if (staying.isEmpty()) {
			return Shortage.of("no target of the service takes work");
		}
		List<ListedTarget> allowed = staying.stream().filter((t) -> isAllowed(scope, t)).toList();
		if (allowed.isEmpty()) {
			return Shortage.of("no target of the service is in a region that the request may be served in");
		}
		List<ListedTarget> open = allowed.stream().filter((t) -> !isEvacuated(t)).toList();
		if (open.isEmpty()) {
			return Shortage.until("all targets of the service are withheld or in data centres being evacuated",
					EVACUATED_MILLIS);
		}
		List<ListedTarget> left = open.stream().filter((t) -> !scope.tried().contains(t.id())).toList();
		// A caller that comes back has tried none: it may find those that rest until
		// then.
		long free = firstFreeInMillis(left.isEmpty() ? open : left, now);
		if (left.isEmpty() && free == 0) {
			return Shortage.of("no target of the service is left");
		}
		return Shortage.until("all targets left are cold or in need and have had all they take for now",
				Math.max(1, free));
	}

	private long firstFreeInMillis(List<ListedTarget> targets, long now) {
		return targets.stream().mapToLong((t) -> freeInMillis(t, now)).min().orElse(0);
	}

	private long freeInMillis(ListedTarget target, long now) {
		return Math.max(this.cold.freeInMillis(target, now), this.needs.freeInMillis(target, now));
	}

	private boolean isAllowed(Scope scope, ListedTarget target) {
		return scope.regions().allow(Optional.ofNullable(this.regions.get(target.dataCentre())));
	}

}
