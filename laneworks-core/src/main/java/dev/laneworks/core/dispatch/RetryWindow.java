package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.gossip.ServiceSpending;

/**
 * This process's part of a fleet-wide bound on repeated sendings, kept without a shared
 * counter.
 * <p>
 * The fleet may repeat, in any window, a share of its requests to a service and a fixed
 * number besides. Each process may always spend the share of the requests that it saw
 * itself and a fraction of the number, so that the sum stays inside whatever processes
 * come, go or stop. Where it knows what the others have spent it may spend more, as long
 * as all together stay clear of the bound. Not thread-safe.
 *
 * @since 0.2
 */
public final class RetryWindow {

	private final long windowMillis;

	private double ratio;

	private double fixed;

	/**
	 * The part of the bound that processes spend together. What they know of each other
	 * is up to a second old, and what a process spent before it died is known in part.
	 */
	private static final double TOGETHER = 0.7;

	private final double fleetFixed;

	private final SpendingOfOthers others;

	private final Map<String, ServiceWindow> services = new HashMap<>();

	/**
	 * Create a window.
	 * @param windowMillis its length in milliseconds
	 * @param ratio the repeated sendings allowed for each request seen
	 * @param fixed this process's part of the fixed number
	 * @param fleetFixed the whole fixed number
	 * @param others tells what other processes have spent
	 */
	public RetryWindow(long windowMillis, double ratio, double fixed, double fleetFixed, SpendingOfOthers others) {
		this.fleetFixed = fleetFixed;
		this.others = others;
		if (windowMillis <= 0) {
			throw new IllegalArgumentException("windowMillis must be positive but is " + windowMillis);
		}
		this.windowMillis = windowMillis;
		this.ratio = ratio;
		this.fixed = fixed;
	}

	/**
	 * Change what is allowed; what was spent counts on.
	 * @param newRatio the repeated sendings allowed for each request seen
	 * @param newFixed this process's part of the fixed number
	 */
	public void allow(double newRatio, double newFixed) {
		this.ratio = newRatio;
		this.fixed = newFixed;
	}

	/**
	 * Record a request of a caller.
	 * @param service the service that it is routed to
	 * @param now the time in milliseconds
	 */
	public void recordRequest(String service, long now) {
		window(service, now).requests.add(now);
	}

	/**
	 * Take one repeated sending if there is one left.
	 * @param service the service
	 * @param now the time in milliseconds
	 * @return {@code false} if the part is spent
	 */
	public boolean tryTake(String service, long now) {
		ServiceWindow window = window(service, now);
		boolean isOwn = window.repeats.size() + 1 <= this.ratio * window.requests.size() + this.fixed;
		if (!isOwn && !isWithinAll(service, window, now)) {
			return false;
		}
		window.repeats.add(now);
		return true;
	}

	/**
	 * Return what this process spent in the window.
	 * @param now the time in milliseconds
	 * @return its spending on each service that it saw requests for
	 */
	public List<ServiceSpending> spending(long now) {
		return this.services.keySet().stream().map((s) -> {
			ServiceWindow window = window(s, now);
			return new ServiceSpending(s, window.requests.size(), window.repeats.size());
		}).toList();
	}

	private boolean isWithinAll(String service, ServiceWindow window, long now) {
		return this.others.spending(service, this.windowMillis, now)
			.filter((o) -> o.repeats() + window.repeats.size() + 1 <= TOGETHER
					* (this.ratio * (o.requests() + window.requests.size()) + this.fleetFixed))
			.isPresent();
	}

	private ServiceWindow window(String service, long now) {
		ServiceWindow window = this.services.computeIfAbsent(service, (s) -> new ServiceWindow());
		window.forgetBefore(now - this.windowMillis);
		return window;
	}

	/**
	 * Tells what other processes have spent.
	 */
	@FunctionalInterface
	public interface SpendingOfOthers {

		/**
		 * Return what they have spent on a service, as far as is known.
		 * @param service the service's name
		 * @param windowMillis the budget's window
		 * @param now the time in milliseconds
		 * @return the sum, or empty if nothing is known of others
		 */
		Optional<ServiceSpending> spending(String service, long windowMillis, long now);

	}

	private static final class ServiceWindow {

		private final Deque<Long> requests = new ArrayDeque<>();

		private final Deque<Long> repeats = new ArrayDeque<>();

		void forgetBefore(long time) {
			forgetBefore(this.requests, time);
			forgetBefore(this.repeats, time);
		}

		private static void forgetBefore(Deque<Long> times, long time) {
			while (!times.isEmpty() && times.peekFirst() <= time) {
				times.removeFirst();
			}
		}

	}

}
