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
 * History of the published targets, from which the former homes of a key are derived.
 * <p>
 * The home of a key without a ticket is the published target that serves its model and
 * ranks first in the rendezvous hashing of the key. Not thread-safe.
 *
 * @since 0.1
 */
public final class ViewHistory {

	private final Deque<View> views = new ArrayDeque<>();

	/**
	 * Record the targets of a configuration that becomes effective.
	 * @param targets the published targets
	 * @param now the current time in milliseconds
	 */
	public void record(List<TargetDescription> targets, long now) {
		View last = this.views.peekLast();
		if (last != null && last.targets().equals(targets)) {
			return;
		}
		this.views.addLast(new View(now, targets));
	}

	/**
	 * Remove the views that were replaced at or before a time.
	 * @param before the time in milliseconds
	 */
	public void removeReplacedBefore(long before) {
		while (this.views.size() > 1 && secondViewSince() <= before) {
			this.views.removeFirst();
		}
	}

	/**
	 * Return the home of a key according to the latest view.
	 * @param model the name of the model
	 * @param generation the name of the key's generation
	 * @return the name of the home, or empty if no target serves the model
	 */
	public Optional<String> home(String model, String generation) {
		View last = this.views.peekLast();
		return (last != null) ? home(last.targets(), model, generation) : Optional.empty();
	}

	/**
	 * Return the homes of a key according to all recorded views.
	 * @param model the name of the model
	 * @param generation the name of the key's generation
	 * @return the names of the former homes and the current one, oldest first
	 */
	public Set<String> homes(String model, String generation) {
		Set<String> homes = new LinkedHashSet<>();
		this.views.forEach((v) -> home(v.targets(), model, generation).ifPresent(homes::add));
		return homes;
	}

	/**
	 * Return the size of the history.
	 * @return the number of views
	 */
	public int size() {
		return this.views.size();
	}

	/**
	 * Return the home of a key according to a list of targets.
	 * @param targets the published targets
	 * @param model the name of the model
	 * @param generation the name of the key's generation
	 * @return the name of the home, or empty if no target serves the model
	 */
	public static Optional<String> home(List<TargetDescription> targets, String model, String generation) {
		List<TargetDescription> serving = targets.stream().filter((t) -> t.serves().contains(model)).toList();
		return Rendezvous.first(Rendezvous.hash(generation), serving, TargetDescription::name)
			.map(TargetDescription::name);
	}

	private long secondViewSince() {
		var iterator = this.views.iterator();
		iterator.next();
		return iterator.next().since();
	}

	private record View(long since, List<TargetDescription> targets) {

	}

}
