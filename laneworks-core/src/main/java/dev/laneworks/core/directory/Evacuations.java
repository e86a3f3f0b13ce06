package dev.laneworks.core.directory;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The data centres whose targets are to be sent nothing more, as the operator asks.
 * <p>
 * An evacuation holds from the moment it is heard until it is taken back, whatever the
 * targets say of themselves. Targets go on with what they run. Any number of data centres
 * may be evacuated at once, all of them included. Not thread-safe.
 *
 * @since 0.3
 */
public final class Evacuations {

	private final Set<String> evacuated = new HashSet<>();

	private final EvacuationListener listener;

	/**
	 * Create evacuations of which there are none.
	 * @param listener hears of changes
	 */
	public Evacuations(EvacuationListener listener) {
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Take all evacuations, read anew.
	 * @param dataCentres the data centres that are evacuated; all others are not
	 */
	public void replaceAll(Collection<String> dataCentres) {
		Set.copyOf(this.evacuated).stream().filter((d) -> !dataCentres.contains(d)).forEach(this::end);
		dataCentres.forEach(this::begin);
	}

	/**
	 * Take that a data centre is to be evacuated.
	 * @param dataCentre the data centre
	 */
	public void begin(String dataCentre) {
		if (this.evacuated.add(dataCentre)) {
			this.listener.evacuated(dataCentre);
		}
	}

	/**
	 * Take that a data centre is in service again.
	 * @param dataCentre the data centre
	 */
	public void end(String dataCentre) {
		if (this.evacuated.remove(dataCentre)) {
			this.listener.takenBack(dataCentre);
		}
	}

	/**
	 * Return whether a target is in a data centre that is evacuated.
	 * @param target the target
	 * @return whether nothing may be sent to it
	 */
	public boolean holdsFor(ListedTarget target) {
		return this.evacuated.contains(target.dataCentre());
	}

	/**
	 * Return how many data centres are evacuated.
	 * @return the count
	 */
	public int count() {
		return this.evacuated.size();
	}

}
