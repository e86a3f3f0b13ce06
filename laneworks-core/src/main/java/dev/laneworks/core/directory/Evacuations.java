package dev.laneworks.core.directory;

import java.util.Collection;
import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * The targets that must not be sent new requests although they are not draining: those in
 * evacuated data centres, and single ones that are withheld.
 * <p>
 * An operator starts and ends an evacuation, which applies whatever the targets report
 * themselves. Targets continue the requests that they execute. Any number of data centres
 * may be evacuated at once, including all of them. A target is withheld while its list
 * entry is invalid. Not thread-safe.
 *
 * @since 0.3
 */
public final class Evacuations {

	private final Set<String> evacuated = new HashSet<>();

	private final Set<String> withheld = new HashSet<>();

	private final EvacuationListener listener;

	/**
	 * Create an instance without evacuations.
	 * @param listener receives the start and the end of each evacuation
	 */
	public Evacuations(EvacuationListener listener) {
		this.listener = Objects.requireNonNull(listener, "listener must not be null");
	}

	/**
	 * Replace all evacuations by those of a new read.
	 * @param dataCentres the names of the evacuated data centres
	 */
	public void replaceAll(Collection<String> dataCentres) {
		Set.copyOf(this.evacuated).stream().filter((d) -> !dataCentres.contains(d)).forEach(this::end);
		dataCentres.forEach(this::begin);
	}

	/**
	 * Start the evacuation of a data centre.
	 * @param dataCentre the data centre's name
	 */
	public void begin(String dataCentre) {
		if (this.evacuated.add(dataCentre)) {
			this.listener.evacuated(dataCentre);
		}
	}

	/**
	 * End the evacuation of a data centre.
	 * @param dataCentre the data centre's name
	 */
	public void end(String dataCentre) {
		if (this.evacuated.remove(dataCentre)) {
			this.listener.evacuationEnded(dataCentre);
		}
	}

	/**
	 * Withhold a single target from new requests.
	 * @param id the target's id
	 * @return {@code true} if it was not withheld before
	 */
	public boolean withhold(String id) {
		return this.withheld.add(id);
	}

	/**
	 * Stop withholding a target that accepts requests again or is gone.
	 * @param id the target's id
	 * @return {@code true} if it was withheld
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
	 * Determine whether a target is withheld or in an evacuated data centre.
	 * @param target the target
	 * @return {@code true} if it must not be sent requests
	 */
	public boolean excludes(ListedTarget target) {
		return this.withheld.contains(target.id()) || this.evacuated.contains(target.dataCentre());
	}

	/**
	 * Return the number of evacuated data centres.
	 * @return the number of data centres
	 */
	public int count() {
		return this.evacuated.size();
	}

}
