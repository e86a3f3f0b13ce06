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
 * Queue of requests ordered by priority, then by weighted fair sharing among client
 * accounts, then by age.
 * <p>
 * Each account has a counter of the tokens served to it, divided by its weight. The
 * account with the lowest counter goes first. An account that returns after an idle time
 * starts at no less than the lowest counter of the waiting accounts, so that idle time
 * earns no credit. A request gains one priority for each full ageing time in the queue,
 * which prevents starvation. Not thread-safe.
 *
 * @param <E> the type of the queued requests
 * @since 0.1
 */
public final class AdmissionQueue<E extends QueueEntry> {

	private final long ageingMillis;

	private final Map<String, AccountQueue<E>> accountQueues = new HashMap<>();

	private final Map<String, Double> served = new HashMap<>();

	private final Map<Integer, Integer> countByPriority = new HashMap<>();

	private int size;

	/**
	 * Create an empty queue.
	 * @param ageingMillis the time in the queue that raises the priority by one, in
	 * milliseconds
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
		AccountQueue<E> accountQueue = this.accountQueues.get(entry.account());
		if (accountQueue == null) {
			double lowest = lowestServed();
			this.served.merge(entry.account(), lowest, Math::max);
			accountQueue = new AccountQueue<>();
			this.accountQueues.put(entry.account(), accountQueue);
		}
		accountQueue.add(entry);
		this.size++;
		this.countByPriority.merge(entry.priority(), 1, Integer::sum);
	}

	/**
	 * Return the request that goes next, without removing it.
	 * @param now the current time in milliseconds
	 * @return the request, or empty if the queue is empty
	 */
	public Optional<E> peek(long now) {
		E best = null;
		int bestPriority = 0;
		for (AccountQueue<E> accountQueue : this.accountQueues.values()) {
			for (E head : accountQueue.heads()) {
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
	 * @return {@code true} if it was in the queue
	 */
	public boolean remove(E entry) {
		AccountQueue<E> accountQueue = this.accountQueues.get(entry.account());
		if (accountQueue == null || !accountQueue.remove(entry)) {
			return false;
		}
		this.size--;
		this.countByPriority.merge(entry.priority(), -1, Integer::sum);
		if (accountQueue.isEmpty()) {
			this.accountQueues.remove(entry.account());
		}
		return true;
	}

	/**
	 * Record tokens that were served to an account.
	 * @param account the name of the client account
	 * @param weight the weight of the account, above 0
	 * @param tokens the number of tokens
	 */
	public void recordServed(String account, double weight, long tokens) {
		this.served.merge(account, tokens / weight, Double::sum);
	}

	/**
	 * Remove the counters of accounts without waiting or running requests.
	 * @param running the accounts with running requests
	 */
	public void retainCounters(Collection<String> running) {
		this.served.keySet().removeIf((a) -> !this.accountQueues.containsKey(a) && !running.contains(a));
	}

	/**
	 * Return the queued requests.
	 * @return a copy in no particular order
	 */
	public List<E> entries() {
		List<E> entries = new ArrayList<>(this.size);
		this.accountQueues.values().forEach((q) -> q.addAllTo(entries));
		return entries;
	}

	/**
	 * Return the number of queued requests that go before a new one, without ageing.
	 * @param priority the priority of the new request
	 * @return the number of requests with the same or a higher priority
	 */
	public int ahead(int priority) {
		int ahead = 0;
		for (Map.Entry<Integer, Integer> count : this.countByPriority.entrySet()) {
			ahead += (count.getKey() >= priority) ? count.getValue() : 0;
		}
		return ahead;
	}

	/**
	 * Return the size of the queue.
	 * @return the number of queued requests
	 */
	public int size() {
		return this.size;
	}

	private double lowestServed() {
		return this.accountQueues.keySet()
			.stream()
			.mapToDouble((a) -> this.served.getOrDefault(a, 0.0))
			.min()
			.orElse(0);
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
	 * Queued requests of one account, first in first out within each priority.
	 */
	private static final class AccountQueue<E extends QueueEntry> {

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
