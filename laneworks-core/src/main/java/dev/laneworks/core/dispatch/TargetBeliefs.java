package dev.laneworks.core.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.gossip.WorkAtTarget;

/**
 * What this process believes of all targets. Not thread-safe.
 *
 * @since 0.2
 */
public final class TargetBeliefs {

	private final Map<String, TargetBelief> byId = new HashMap<>();

	private final Function<String, Optional<WorkAtTarget>> others;

	private ChangeListener changed = (target, isUrgent) -> {
	};

	/**
	 * Create beliefs.
	 * @param others gives the work that other entries have at a target, empty where
	 * nothing is known of others
	 */
	public TargetBeliefs(Function<String, Optional<WorkAtTarget>> others) {
		this.others = others;
	}

	/**
	 * Call a listener whenever the own work at targets changes.
	 * @param listener the listener
	 */
	public void onChange(ChangeListener listener) {
		this.changed = listener;
	}

	/**
	 * Record a change of the own work at a target, unless the target was forgotten.
	 * @param target the target
	 * @param change what changes
	 */
	public void change(ListedTarget target, Consumer<TargetBelief> change) {
		TargetBelief belief = this.byId.get(target.id());
		if (belief == null) {
			return;
		}
		int toMove = belief.toMove();
		boolean wasCopying = belief.isCopying();
		change.accept(belief);
		forgetIfUnused(belief);
		this.changed.changed(target.id(), belief.toMove() != toMove || belief.isCopying() != wasCopying);
	}

	private void forgetIfUnused(TargetBelief belief) {
		if (belief.isGone() && belief.inFlight() <= 0 && belief.toMove() <= 0) {
			this.byId.remove(belief.target().id());
		}
	}

	/**
	 * Return the own work at all targets where there is any.
	 * @return the work
	 */
	public List<WorkAtTarget> ownWork() {
		return this.byId.values()
			.stream()
			.filter((b) -> b.inFlight() > 0 || b.ownTokens() > 0)
			.map((b) -> new WorkAtTarget(b.target().id(), b.inFlight(), b.ownTokens(), b.ownUnread(), b.toMove(),
					b.isCopying()))
			.toList();
	}

	/**
	 * Return how many requests are believed to be at a target, those of others included.
	 * @param target the target
	 * @param now the time in milliseconds
	 * @return the count
	 */
	public double requests(ListedTarget target, long now) {
		TargetBelief belief = of(target);
		return belief.inFlight() + this.others.apply(target.id())
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
		return belief.ownTokens() + this.others.apply(target.id())
			.map((w) -> (double) w.heldTokens())
			.orElseGet(() -> belief.othersTold(now) * tokensOfOthers);
	}

	/**
	 * Return the tokens of prompts that an engine is believed to have yet to read.
	 * @param target the engine
	 * @return tokens
	 */
	public long unreadTokens(ListedTarget target) {
		return of(target).ownUnread() + this.others.apply(target.id()).map(WorkAtTarget::unreadTokens).orElse(0L);
	}

	/**
	 * Return whether a generation is being copied from or to an engine, by this process
	 * or others.
	 * @param target the engine
	 * @return whether its link is in use, as far as is known
	 */
	public boolean isCopying(ListedTarget target) {
		return of(target).isCopying() || this.others.apply(target.id()).map(WorkAtTarget::copying).orElse(false);
	}

	/**
	 * Return the belief about a target, which is created when first asked for.
	 * @param target the target
	 * @return the belief
	 */
	public TargetBelief of(ListedTarget target) {
		return this.byId.computeIfAbsent(target.id(), (id) -> new TargetBelief(target));
	}

	/**
	 * Forget a target that is gone, once nothing of this process is there any more.
	 * @param id the target's id
	 */
	public void forget(String id) {
		TargetBelief belief = this.byId.get(id);
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
		return this.byId.values()
			.stream()
			.filter((b) -> b.target().service().equals(target.service()) && !b.target().id().equals(target.id()))
			.mapToDouble((b) -> b.quality().badShare(now))
			.average()
			.orElse(0);
	}

	/**
	 * Hears of changes of the own work.
	 */
	@FunctionalInterface
	public interface ChangeListener {

		/**
		 * Hear of a change.
		 * @param target the id of the target at which the work changed
		 * @param isUrgent whether others wait for it
		 */
		void changed(String target, boolean isUrgent);

	}

}
