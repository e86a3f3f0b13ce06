package dev.laneworks.core.once;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.configuration.TargetDescription;
import dev.laneworks.core.routing.Rendezvous;

/**
 * Remembers which targets were published, so that the former homes of a key can be named.
 * <p>
 * The home of a key without a ticket is the published target that serves its model and
 * wins the rendezvous for the key. Not thread-safe.
 *
 * @since 0.1
 */
public final class ViewHistory {

	private final Deque<View> views = new ArrayDeque<>();

	/**
	 * Record the targets of a configuration that comes in force.
	 * @param targets the published targets
	 * @param now the time in milliseconds
	 */
	public void record(List<TargetDescription> targets, long now) {
		View last = this.views.peekLast();
		if (last != null && last.targets().equals(targets)) {
			return;
		}
		this.views.addLast(new View(now, targets));
	}

	/**
	 * Forget the views that were replaced before a time.
	 * @param before the time in milliseconds
	 */
	public void forget(long before) {
		while (this.views.size() > 1 && secondSince() <= before) {
			this.views.removeFirst();
		}
	}

	/**
	 * Return the home of a key by the targets published now.
	 * @param model the model of the request
	 * @param generation the name of the key's generation
	 * @return the home's name, or empty if no target serves the model
	 */
	public Optional<String> home(String model, String generation) {
		View last = this.views.peekLast();
		return (last != null) ? home(last.targets(), model, generation) : Optional.empty();
	}

	/**
	 * Return all homes the key had by the views remembered, the present one among them.
	 * @param model the model of the request
	 * @param generation the name of the key's generation
	 * @return the names of the homes
	 */
	public Set<String> homes(String model, String generation) {
		Set<String> homes = new LinkedHashSet<>();
		this.views.forEach((v) -> home(v.targets(), model, generation).ifPresent(homes::add));
		return homes;
	}

	/**
	 * Return how many views are remembered.
	 * @return the count
	 */
	public int size() {
		return this.views.size();
	}

	/**
	 * Return the home of a key by a list of targets.
	 * @param targets the published targets
	 * @param model the model of the request
	 * @param generation the name of the key's generation
	 * @return the home's name, or empty if no target serves the model
	 */
	public static Optional<String> home(List<TargetDescription> targets, String model, String generation) {
		List<TargetDescription> serving = targets.stream().filter((t) -> t.serves().contains(model)).toList();
		return Rendezvous.first(Rendezvous.hash(generation), serving, TargetDescription::name)
			.map(TargetDescription::name);
	}

	private long secondSince() {
		var iterator = this.views.iterator();
		iterator.next();
		return iterator.next().since();
	}

	private record View(long since, List<TargetDescription> targets) {

	}

}
