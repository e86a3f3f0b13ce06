package dev.laneworks.core.directory;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The targets that are to be sent nothing more though they stay: those in data centres
 * that the operator evacuates, and single ones that are withheld.
 * <p>
 * An evacuation holds from the moment it is heard until it is taken back, whatever the
 * targets say of themselves. Targets go on with what they run. Any number of data centres
 * may be evacuated at once, all of them included. A target is withheld while what it says
 * of itself can't be read. Not thread-safe.
 *
 * @since 0.3
 */
public final class Evacuations {

	private final Set<String> evacuated = new HashSet<>();

	private final Set<String> withheld = new HashSet<>();

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
	 * Take that a single target is to be sent nothing more.
	 * @param id the target's id
	 * @return whether that is news
	 */
	public boolean withhold(String id) {
		return this.withheld.add(id);
	}

	/**
	 * Take that a target may be sent work again, or is gone.
	 * @param id the target's id
	 * @return whether it was withheld
	 */
	public boolean release(String id) {
		return this.withheld.remove(id);
	}

	/**
	 * Return the targets that are withheld.
	 * @return their ids
	 */
	public Set<String> withheld() {
		return Set.copyOf(this.withheld);
	}

	/**
	 * Return whether a target is withheld or in a data centre that is evacuated.
	 * @param target the target
	 * @return whether nothing may be sent to it
	 */
	public boolean holdsFor(ListedTarget target) {
		return this.withheld.contains(target.id()) || this.evacuated.contains(target.dataCentre());
	}

	/**
	 * Return how many data centres are evacuated.
	 * @return the count
	 */
	public int count() {
		return this.evacuated.size();
	}

}
