package dev.laneworks.core.serving;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The regions that a request may be served in.
 *
 * @param names the names of the regions, or empty where any will do
 * @since 0.3
 */
public record AllowedRegions(Optional<Set<String>> names) {

	private static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

	public AllowedRegions {
		names = names.map(Set::copyOf);
	}

	/**
	 * Return that any region will do.
	 * @return no restriction
	 */
	public static AllowedRegions any() {
		return ANY;
	}

	/**
	 * Return a restriction to some regions.
	 * @param names their names; none of them means no restriction
	 * @return the restriction
	 */
	public static AllowedRegions of(Collection<String> names) {
		return names.isEmpty() ? ANY : new AllowedRegions(Optional.of(Set.copyOf(names)));
	}

	/**
	 * Return the regions that this and another restriction allow.
	 * @param other the other restriction
	 * @return both of them; no region at all where they have none in common
	 */
	public AllowedRegions and(AllowedRegions other) {
		if (this.names.isEmpty()) {
			return other;
		}
		if (other.names.isEmpty()) {
			return this;
		}
		Set<String> common = new HashSet<>(this.names.get());
		common.retainAll(other.names.get());
		return new AllowedRegions(Optional.of(common));
	}

	/**
	 * Return whether a request may be served in a region.
	 * @param region the region, or empty where it is not known
	 * @return whether it may; where there is a restriction it may not in a region that is
	 * not known
	 */
	public boolean allow(Optional<String> region) {
		return this.names.isEmpty() || region.filter(this.names.get()::contains).isPresent();
	}

}
