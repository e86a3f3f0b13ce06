package dev.laneworks.core.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import dev.laneworks.core.directory.TargetRun;

/**
 * Keeps the requests whose connections broke at a target until it is known whether the
 * target ended.
 * <p>
 * A connection may be reset by a target that lives, by the network or by a machine on the
 * way: of such a request nothing is suspected. Not thread-safe.
 *
 * @since 0.4
 */
public final class BrokenRequests {

	/**
	 * For how long after a break the end of the target explains it, in milliseconds: the
	 * list drops a target after three heartbeats of silence.
	 */
	static final long EXPLAINED_MILLIS = 4_500;

	/** How long a process that ends may still take connections, in milliseconds. */
	static final long ENDING_MILLIS = 250;

	private final Map<TargetRun, List<Broken>> byRun = new HashMap<>();

	/**
	 * Take that a request broke off.
	 * @param digest the request
	 * @param requestId its name
	 * @param run the run of the target that it was sent to
	 * @param now the time in milliseconds
	 * @return whether it is the first one there
	 */
	public boolean add(RequestDigest digest, String requestId, TargetRun run, long now) {
		forgetOld(now);
		List<Broken> there = this.byRun.computeIfAbsent(run, (r) -> new ArrayList<>());
		there.add(new Broken(digest, requestId, now));
		return there.size() == 1;
	}

	/**
	 * Return where a request broke off of which it is not known yet whether the target
	 * ended.
	 * @param digest the request
	 * @param now the time in milliseconds
	 * @return the runs of the targets
	 */
	public Set<TargetRun> brokenOffAt(RequestDigest digest, long now) {
		forgetOld(now);
		return this.byRun.entrySet()
			.stream()
			.filter((e) -> e.getValue().stream().anyMatch((b) -> b.digest().equals(digest)))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Take that a target ended.
	 * @param run the run of the target
	 * @param now the time in milliseconds
	 * @return the requests that broke off there, which are not kept any more
	 */
	public List<Broken> endOf(TargetRun run, long now) {
		forgetOld(now);
		List<Broken> there = this.byRun.remove(run);
		return (there != null) ? there : List.of();
	}

	/**
	 * Take that a target takes connections: what broke off a while ago did so of another
	 * cause than its end. One that is ending may still take some.
	 * @param run the run of the target
	 * @param now the time in milliseconds
	 */
	public void isAlive(TargetRun run, long now) {
		Optional.ofNullable(this.byRun.get(run))
			.ifPresent((there) -> there.removeIf((b) -> now - b.brokenAt() >= ENDING_MILLIS));
		forgetOld(now);
	}

	/**
	 * Take that a target told of its end before: nothing that broke off there is
	 * suspected.
	 * @param run the run of the target
	 */
	public void forget(TargetRun run) {
		this.byRun.remove(run);
	}

	private void forgetOld(long now) {
		this.byRun.values().forEach((l) -> l.removeIf((b) -> now - b.brokenAt() > EXPLAINED_MILLIS));
		this.byRun.values().removeIf(List::isEmpty);
	}

	/**
	 * A request that broke off.
	 *
	 * @param digest the request
	 * @param requestId its name
	 * @param brokenAt when it broke off, in milliseconds
	 */
	public record Broken(RequestDigest digest, String requestId, long brokenAt) {

	}

}
