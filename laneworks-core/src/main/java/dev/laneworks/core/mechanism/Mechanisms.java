package dev.laneworks.core.mechanism;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.document.DocumentObject;

/**
 * Set of the mechanisms that an entry uses.
 *
 * @param disabled the disabled mechanisms
 * @since 0.2
 */
public record Mechanisms(Set<Mechanism> disabled) {

	public Mechanisms {
		disabled = Set.copyOf(disabled);
	}

	/**
	 * Create an instance that enables all mechanisms.
	 * @return an instance without disabled mechanisms
	 */
	public static Mechanisms all() {
		return new Mechanisms(EnumSet.noneOf(Mechanism.class));
	}

	/**
	 * Read the disabled mechanisms from a document.
	 * @param object the object that contains the list of labels
	 * @param name the name of the list; a missing list disables nothing
	 * @return the mechanisms, with none disabled if a label is unknown
	 */
	public static Mechanisms read(DocumentObject object, String name) {
		Set<Mechanism> off = EnumSet.noneOf(Mechanism.class);
		for (String label : object.texts(name)) {
			Optional<Mechanism> found = Mechanism.find(label);
			if (found.isEmpty()) {
				return object.invalid(name, "names the unknown mechanism " + label, all());
			}
			off.add(found.get());
		}
		return new Mechanisms(off);
	}

	/**
	 * Determine whether a mechanism is enabled.
	 * @param mechanism the mechanism to look up
	 * @return {@code false} if the mechanism is disabled
	 */
	public boolean isEnabled(Mechanism mechanism) {
		return !this.disabled.contains(mechanism);
	}

}
