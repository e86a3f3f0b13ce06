package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetRun;
import dev.laneworks.core.gossip.WorkAtTarget;

/**
 * What this process believes of all targets.
 * <p>
 * Each belief is of one run: of a target that starts again nothing is believed. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class TargetBeliefs {

	/** The least that a doubt's time is multiplied with; the most is one more. */
	private static final double LEAST_SPREAD = 0.5;

	private final Map<TargetRun, TargetBelief> byRun = new HashMap<>();

	private final Function<TargetRun, Optional<WorkAtTarget>> others;

	private final RandomGenerator random;

	private ChangeListener changed = (target, change) -> {
	};

	private Consumer<ListedTarget> doubted = (target) -> {
	};

	/**
	 * Create beliefs.
	 * @param others gives the work that other entries have at the run of a target, empty
	 * where nothing is known of others
	 * @param random the source of what differs from process to process
	 */
	public TargetBeliefs(Function<TargetRun, Optional<WorkAtTarget>> others, RandomGenerator random) {
		this.others = others;
		this.random = random;
	}

	/**
	 * Call a listener whenever the own work at targets changes.
	 * @param listener the listener
	 */
	public void onChange(ChangeListener listener) {
		this.changed = listener;
	}

	/**
	 * Call a listener whenever a target is newly doubted.
	 * @param listener the listener
	 */
	public void onDoubt(Consumer<ListedTarget> listener) {
		this.doubted = listener;
	}

	/**
	 * Record that a target refused a connection.
	 * @param target the target
	 */
	public void refused(ListedTarget target) {
		of(target).connectionRefused();
		this.changed.changed(target, Change.AWAITED);
	}

	/**
	 * Record that a target said to this process that it is leaving.
	 * @param target the target
	 */
	public void saidLeaving(ListedTarget target) {
		of(target).saidLeaving();
		this.changed.changed(target, Change.LEAVING);
	}

	/**
	 * Record that a connection to a target came up, or that it is listed anew.
	 * @param target the target
	 */
	public void reached(ListedTarget target) {
		TargetBelief belief = of(target);
		belief.connected();
		belief.doubt().end(refusedByAll(belief));
	}

	/**
	 * Return whether nothing seems to listen at a target, by the refusals of all entries.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return whether it is to be left alone
	 */
	public boolean isDoubted(ListedTarget target, long now) {
		TargetBelief belief = of(target);
		if (belief.doubt().observe(refusedByAll(belief), LEAST_SPREAD + this.random.nextDouble(), now)) {
			this.doubted.accept(target);
		}
		return belief.doubt().isDoubted(now);
	}

	/**
	 * Return how many targets are doubted.
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public long doubted(long now) {
		return this.byRun.values().stream().filter((b) -> !b.isGone() && b.doubt().isDoubted(now)).count();
	}

	private long refusedByAll(TargetBelief belief) {
		return belief.refused() + this.others.apply(belief.target().run()).map(WorkAtTarget::refused).orElse(0);
	}

	/**
	 * Record a change of the own work at a target, unless the target was forgotten.
	 * @param target the target
	 * @param change what changes
	 */
	public void change(ListedTarget target, Consumer<TargetBelief> change) {
		TargetBelief belief = this.byRun.get(target.run());
		if (belief == null) {
			return;
		}
		int toMove = belief.toMove();
		int inFlight = belief.inFlight();
		boolean wasCopying = belief.isCopying();
		change.accept(belief);
		forgetIfUnused(belief);
		boolean isAwaited = belief.toMove() != toMove || belief.isCopying() != wasCopying;
		Change kind = (belief.inFlight() > inFlight) ? Change.BEGUN : Change.OTHER;
		this.changed.changed(target, isAwaited ? Change.AWAITED : kind);
	}

	private void forgetIfUnused(TargetBelief belief) {
		if (belief.isGone() && belief.inFlight() <= 0 && belief.toMove() <= 0 && belief.ownTokens() <= 0) {
			this.byRun.remove(belief.target().run());
		}
	}

	/**
	 * Return the own work at all targets where there is any.
	 * @return the work
	 */
	public List<WorkAtTarget> ownWork() {
		return this.byRun.values()
			.stream()
			.filter((b) -> b.inFlight() > 0 || b.ownTokens() > 0 || isToTell(b))
			.map((b) -> new WorkAtTarget(b.target().run(), b.inFlight(), b.ownTokens(), b.ownUnread(), b.toMove(),
					b.isCopying(), b.refused(), b.hasSaidLeaving()))
			.toList();
	}

	private static boolean isToTell(TargetBelief belief) {
		return !belief.isGone() && (belief.refused() > 0 || belief.hasSaidLeaving());
	}

	/**
	 * Return how many requests are believed to be at a target, those of others included.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public double requests(ListedTarget target, long now) {
		TargetBelief belief = of(target);
		return belief.inFlight() + this.others.apply(target.run())
			.map((w) -> (double) w.requests())
			.orElseGet(() -> belief.othersTold(now));
	}

	/**
	 * Return the engine memory that is believed to be in use or promised.
	 * @param target the engine
	 * @param tokensOfOthers what one request of another process holds where only their
	 * number is known
	 * @param now the time in milliseconds
	 * @return tokens
	 */
	public double heldTokens(ListedTarget target, double tokensOfOthers, long now) {
		TargetBelief belief = of(target);
		return belief.ownTokens() + this.others.apply(target.run())
			.map((w) -> (double) w.heldTokens())
			.orElseGet(() -> belief.othersTold(now) * tokensOfOthers);
	}

	/**
	 * Return the tokens of prompts that an engine is believed to have yet to read.
	 * @param target the engine
	 * @return tokens
	 */
	public long unreadTokens(ListedTarget target) {
		return of(target).ownUnread() + this.others.apply(target.run()).map(WorkAtTarget::unreadTokens).orElse(0L);
	}

	/**
	 * Return whether a generation is being copied from or to an engine, by this process
	 * or others.
	 * @param target the engine
	 * @return whether its link is in use, as far as is known
	 */
	public boolean isCopying(ListedTarget target) {
		return of(target).isCopying() || this.others.apply(target.run()).map(WorkAtTarget::copying).orElse(false);
	}

	/**
	 * Return the belief about a target, which is created when first asked for.
	 * @param target the target
	 * @return the belief
	 */
	public TargetBelief of(ListedTarget target) {
		return this.byRun.computeIfAbsent(target.run(), (run) -> new TargetBelief(target));
	}

	/**
	 * Forget a target that is gone, once nothing of this process is there any more.
	 * @param target the target
	 */
	public void forget(ListedTarget target) {
		TargetBelief belief = this.byRun.get(target.run());
		if (belief != null) {
			belief.gone();
			forgetIfUnused(belief);
		}
	}

	/**
	 * Return the share of bad answers among the other targets of a target's service.
	 * @param target the target that is left out
	 * @param now the time in milliseconds
	 * @return the mean share, from 0 to 1
	 */
	public double peersBadShare(ListedTarget target, long now) {
		return this.byRun.values()
			.stream()
			.filter((b) -> b.target().service().equals(target.service()) && !b.target().id().equals(target.id()))
			.mapToDouble((b) -> b.quality().badShare(now))
			.average()
			.orElse(0);
	}

	/**
	 * What changes in the own work at a target.
	 */
	public enum Change {

		/** A request was sent there. */
		BEGUN,

		/** A move or a copy, whose links others wait for, or a connection refused. */
		AWAITED,

		/** The target said that it is leaving. */
		LEAVING,

		/** Anything else. */
		OTHER

	}

	/**
	 * Hears of changes of the own work.
	 */
	@FunctionalInterface
	public interface ChangeListener {

		/**
		 * Hear of a change.
		 * @param target the target at which the work changed
		 * @param change what changed
		 */
		void changed(ListedTarget target, Change change);

	}

}
