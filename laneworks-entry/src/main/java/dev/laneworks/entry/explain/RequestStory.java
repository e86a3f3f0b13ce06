package dev.laneworks.entry.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Picks the lines that tell what happened to a request, and says what is missing.
 */
final class RequestStory {

	private static final Set<String> LAST = Set.of("answered", "refused", "cut", "cancelled");

	private static final Set<String> OF_TARGETS = Set.of("membership", "target-health");

	private final List<LoggedEvent> events;

	private final String request;

	RequestStory(List<LoggedEvent> events, String request) {
		this.events = events.stream().sorted(Comparator.comparing(LoggedEvent::time)).toList();
		this.request = request;
	}

	boolean isEmpty() {
		return own().isEmpty();
	}

	/**
	 * Return the story: the request's own events, and between them what was heard of the
	 * targets that it was sent to.
	 * @return a line for each event, then a line for each thing that is missing
	 */
	List<String> lines() {
		List<LoggedEvent> own = own();
		Set<String> instances = new HashSet<>();
		Set<String> targets = new HashSet<>();
		own.forEach((e) -> {
			instances.add(e.instance());
			targets.add(e.target());
		});
		String from = own.get(0).time();
		String to = own.get(own.size() - 1).time();
		List<String> lines = new ArrayList<>();
		for (LoggedEvent event : this.events) {
			boolean isOwn = event.subject().equals(this.request);
			boolean isOfTarget = OF_TARGETS.contains(event.kind()) && targets.contains(event.subject())
					&& instances.contains(event.instance()) && isBetween(event.time(), from, to);
			if (isOwn || isOfTarget) {
				lines.add(line(event, isOwn));
			}
		}
		lines.addAll(missing(own, instances));
		return lines;
	}

	private List<LoggedEvent> own() {
		return this.events.stream().filter((e) -> e.subject().equals(this.request)).toList();
	}

	private List<String> missing(List<LoggedEvent> own, Set<String> instances) {
		List<String> missing = new ArrayList<>();
		if (own.stream().noneMatch((e) -> e.kind().equals("accepted"))) {
			missing.add("missing: no line tells that the request was accepted");
		}
		if (own.stream().noneMatch((e) -> LAST.contains(e.kind()))) {
			missing
				.add("missing: no line tells how it ended; its instance may have died, or its last lines are not here");
		}
		this.events.stream()
			.filter((e) -> e.kind().equals("lines-dropped") && instances.contains(e.instance()))
			.forEach((e) -> missing.add("missing: " + e.instance() + " dropped " + e.cause() + " before " + e.time()));
		return missing;
	}

	private static boolean isBetween(String time, String from, String to) {
		return time.compareTo(from) >= 0 && time.compareTo(to) <= 0;
	}

	private static String line(LoggedEvent event, boolean isOwn) {
		String target = event.target().isEmpty() ? "" : " " + event.target();
		return event.time() + ' ' + event.instance() + ' ' + (isOwn ? "" : "(target) ") + event.kind() + target + ": "
				+ event.cause();
	}

}
