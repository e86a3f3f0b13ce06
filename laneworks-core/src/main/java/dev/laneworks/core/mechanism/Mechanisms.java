package dev.laneworks.core.mechanism;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.document.DocumentObject;

/**
 * The mechanisms that an entry uses.
 *
 * @param off those that are switched off
 * @since 0.2
 */
public record Mechanisms(Set<Mechanism> off) {

	public Mechanisms {
		off = Set.copyOf(off);
	}

	/**
	 * Return the use of all mechanisms.
	 * @return the mechanisms
	 */
	public static Mechanisms all() {
		return new Mechanisms(EnumSet.noneOf(Mechanism.class));
	}

	/**
	 * Read which mechanisms are switched off.
	 * @param object the object that holds the list of their labels
	 * @param name the list's name; a missing one switches nothing off
	 * @return the mechanisms
	 */
	public static Mechanisms read(DocumentObject object, String name) {
		Set<Mechanism> off = EnumSet.noneOf(Mechanism.class);
		for (String label : object.texts(name)) {
			Optional<Mechanism> found = Mechanism.of(label);
			if (found.isEmpty()) {
				return object.invalid(name, "names the unknown mechanism " + label, all());
			}
			off.add(found.get());
		}
		return new Mechanisms(off);
	}

	/**
	 * Return whether a mechanism is used.
	 * @param mechanism the mechanism
	 * @return whether it is not switched off
	 */
	public boolean use(Mechanism mechanism) {
		return !this.off.contains(mechanism);
	}

}
