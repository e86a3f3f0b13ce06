package dev.laneworks.entry.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chronological list of the events that concern one request, with the gaps in the logs.
 */
final class RequestTimeline {

	private static final Set<String> FINAL_KINDS = Set.of("answered", "refused", "cut", "cancelled");

	private static final Set<String> TARGET_KINDS = Set.of("membership", "target-health");

	private final List<LoggedEvent> events;

	private final String request;

	RequestTimeline(List<LoggedEvent> events, String request) {
		this.events = events.stream().sorted(Comparator.comparing(LoggedEvent::time)).toList();
		this.request = request;
	}

	boolean isEmpty() {
		return requestEvents().isEmpty();
	}

	/**
	 * Return the events of the request, interleaved with the health and membership events
	 * of the targets that it was sent to.
	 * @return one line per event, then one line per gap
	 */
	List<String> lines() {
		List<LoggedEvent> requestEvents = requestEvents();
		Set<String> instances = new HashSet<>();
		Set<String> targets = new HashSet<>();
		requestEvents.forEach((e) -> {
			instances.add(e.instance());
			targets.add(e.target());
		});
		String from = requestEvents.get(0).time();
		String to = requestEvents.get(requestEvents.size() - 1).time();
		List<String> lines = new ArrayList<>();
		for (LoggedEvent event : this.events) {
			boolean isRequestEvent = event.subject().equals(this.request);
			boolean isTargetEvent = TARGET_KINDS.contains(event.kind()) && targets.contains(event.subject())
					&& instances.contains(event.instance()) && isBetween(event.time(), from, to);
			if (isRequestEvent || isTargetEvent) {
				lines.add(line(event, isRequestEvent));
			}
		}
		lines.addAll(missing(requestEvents, instances));
		return lines;
	}

	private List<LoggedEvent> requestEvents() {
		return this.events.stream().filter((e) -> e.subject().equals(this.request)).toList();
	}

	private List<String> missing(List<LoggedEvent> requestEvents, Set<String> instances) {
		List<String> missing = new ArrayList<>();
		if (requestEvents.stream().noneMatch((e) -> e.kind().equals("accepted"))) {
			missing.add("missing: no event reports that the request was accepted");
		}
		if (requestEvents.stream().noneMatch((e) -> FINAL_KINDS.contains(e.kind()))) {
			missing.add(
					"missing: no event reports how the request ended; its instance crashed or the logs are incomplete");
		}
		this.events.stream()
			.filter((e) -> e.kind().equals("lines-dropped") && instances.contains(e.instance()))
			.forEach((e) -> missing.add("missing: " + e.instance() + " dropped " + e.cause() + " before " + e.time()));
		return missing;
	}

	private static boolean isBetween(String time, String from, String to) {
		return time.compareTo(from) >= 0 && time.compareTo(to) <= 0;
	}

	private static String line(LoggedEvent event, boolean isRequestEvent) {
		String target = event.target().isEmpty() ? "" : " " + event.target();
		return event.time() + ' ' + event.instance() + ' ' + (isRequestEvent ? "" : "(target) ") + event.kind() + target
				+ ": " + event.cause();
	}

}
