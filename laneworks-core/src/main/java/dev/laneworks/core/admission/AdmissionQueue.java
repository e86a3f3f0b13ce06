package dev.laneworks.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Orders waiting requests by priority, then by each account's share, then by age.
 * <p>
 * Each account has a counter of the tokens it was served, divided by its weight; the
 * account with the lowest counter goes first. An account that comes back after a pause
 * starts no lower than the lowest of those that wait, so that nobody saves up. A request
 * gains one priority for each full ageing time that it waits, so that nothing starves.
 * Not thread-safe.
 *
 * @param <E> the type of entry
 * @since 0.1
 */
public final class AdmissionQueue<E extends QueueEntry> {

	private final long ageingMillis;

	private final Map<String, AccountLine<E>> lines = new HashMap<>();

	private final Map<String, Double> served = new HashMap<>();

	private final Map<Integer, Integer> counts = new HashMap<>();

	private int size;

	/**
	 * Create an empty queue.
	 * @param ageingMillis the wait that is worth one priority, in milliseconds
	 */
	public AdmissionQueue(long ageingMillis) {
		if (ageingMillis < 1) {
			throw new IllegalArgumentException("ageingMillis must be positive but is " + ageingMillis);
		}
		this.ageingMillis = ageingMillis;
	}

	/**
	 * Add a request.
	 * @param entry the request
	 */
	public void add(E entry) {
		AccountLine<E> line = this.lines.get(entry.account());
		if (line == null) {
			double floor = lowestWaiting();
			this.served.merge(entry.account(), floor, Math::max);
			line = new AccountLine<>();
			this.lines.put(entry.account(), line);
		}
		line.add(entry);
		this.size++;
		this.counts.merge(entry.priority(), 1, Integer::sum);
	}

	/**
	 * Return the request that goes next, without taking it.
	 * @param now the time in milliseconds
	 * @return the request, or empty if none waits
	 */
	public Optional<E> peek(long now) {
		E best = null;
		int bestPriority = 0;
		for (AccountLine<E> line : this.lines.values()) {
			for (E head : line.heads()) {
				int priority = agedPriority(head, now);
				if (best == null || isBefore(head, priority, best, bestPriority)) {
					best = head;
					bestPriority = priority;
				}
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Remove a request.
	 * @param entry the request
	 * @return whether it was waiting
	 */
	public boolean remove(E entry) {
		AccountLine<E> line = this.lines.get(entry.account());
		if (line == null || !line.remove(entry)) {
			return false;
		}
		this.size--;
		this.counts.merge(entry.priority(), -1, Integer::sum);
		if (line.isEmpty()) {
			this.lines.remove(entry.account());
		}
		return true;
	}

	/**
	 * Count tokens that an account was served.
	 * @param account the account
	 * @param weight its weight
	 * @param tokens the tokens
	 */
	public void recordServed(String account, double weight, long tokens) {
		this.served.merge(account, tokens / weight, Double::sum);
	}

	/**
	 * Forget the counters of accounts that neither wait nor run.
	 * @param running the accounts that have something running
	 */
	public void retainCounters(Collection<String> running) {
		this.served.keySet().removeIf((a) -> !this.lines.containsKey(a) && !running.contains(a));
	}

	/**
	 * Return the waiting requests in no order.
	 * @return a copy
	 */
	public List<E> entries() {
		List<E> entries = new ArrayList<>(this.size);
		this.lines.values().forEach((l) -> l.addAllTo(entries));
		return entries;
	}

	/**
	 * Return how many waiting requests go before a new one, ageing aside.
	 * @param priority the priority of the new one
	 * @return the count of those whose priority is no lower
	 */
	public int ahead(int priority) {
		int ahead = 0;
		for (Map.Entry<Integer, Integer> count : this.counts.entrySet()) {
			ahead += (count.getKey() >= priority) ? count.getValue() : 0;
		}
		return ahead;
	}

	/**
	 * Return how many requests wait.
	 * @return the count
	 */
	public int size() {
		return this.size;
	}

	private double lowestWaiting() {
		return this.lines.keySet().stream().mapToDouble((a) -> this.served.getOrDefault(a, 0.0)).min().orElse(0);
	}

	private int agedPriority(E entry, long now) {
		return entry.priority() + (int) Math.max(0, (now - entry.queuedAt()) / this.ageingMillis);
	}

	private boolean isBefore(E entry, int priority, E other, int otherPriority) {
		if (priority != otherPriority) {
			return priority > otherPriority;
		}
		double counter = this.served.getOrDefault(entry.account(), 0.0);
		double otherCounter = this.served.getOrDefault(other.account(), 0.0);
		if (counter != otherCounter) {
			return counter < otherCounter;
		}
		return entry.queuedAt() < other.queuedAt();
	}

	/**
	 * The waiting requests of one account, a line for each priority.
	 */
	private static final class AccountLine<E extends QueueEntry> {

		private final Map<Integer, Deque<E>> byPriority = new HashMap<>();

		void add(E entry) {
			this.byPriority.computeIfAbsent(entry.priority(), (p) -> new ArrayDeque<>()).add(entry);
		}

		boolean remove(E entry) {
			Deque<E> deque = this.byPriority.get(entry.priority());
			if (deque == null || !deque.remove(entry)) {
				return false;
			}
			if (deque.isEmpty()) {
				this.byPriority.remove(entry.priority());
			}
			return true;
		}

		boolean isEmpty() {
			return this.byPriority.isEmpty();
		}

		Iterable<E> heads() {
			Iterator<Deque<E>> deques = this.byPriority.values().iterator();
			return () -> new Iterator<>() {

				@Override
				public boolean hasNext() {
					return deques.hasNext();
				}

				@Override
				public E next() {
					return deques.next().peek();
				}

			};
		}

		void addAllTo(List<E> entries) {
			this.byPriority.values().forEach(entries::addAll);
		}

	}

}
