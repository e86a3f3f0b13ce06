package dev.laneworks.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * This process's part of a fleet-wide bound on repeated sendings, kept without a shared
 * counter.
 * <p>
 * The fleet may repeat, in any window, a share of its requests to a service and a fixed
 * number besides. Each process spends the share of the requests that it saw itself and a
 * fixed fraction of the number, so that the sum stays inside whatever processes come, go
 * or stop. A process starts with an empty history and so with the fixed fraction alone.
 * Not thread-safe.
 *
 * @since 0.2
 */
public final class RetryWindow {

	private final long windowMillis;

	private double ratio;

	private double fixed;

	private final Map<String, ServiceWindow> services = new HashMap<>();

	/**
	 * Create a window.
	 * @param windowMillis its length in milliseconds
	 * @param ratio the repeated sendings allowed for each request seen
	 * @param fixed this process's part of the fixed number
	 */
	public RetryWindow(long windowMillis, double ratio, double fixed) {
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
		if (window.repeats.size() + 1 > this.ratio * window.requests.size() + this.fixed) {
			return false;
		}
		window.repeats.add(now);
		return true;
	}

	private ServiceWindow window(String service, long now) {
		ServiceWindow window = this.services.computeIfAbsent(service, (s) -> new ServiceWindow());
		window.forgetBefore(now - this.windowMillis);
		return window;
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
