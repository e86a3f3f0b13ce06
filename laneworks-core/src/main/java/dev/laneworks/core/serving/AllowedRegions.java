package dev.laneworks.core.serving;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Regions in which a request may be served.
 *
 * @param names the names of the allowed regions, or empty if every region is allowed
 * @since 0.3
 */
public record AllowedRegions(Optional<Set<String>> names) {

	private static final AllowedRegions ANY = new AllowedRegions(Optional.empty());

	public AllowedRegions {
		names = names.map(Set::copyOf);
	}

	/**
	 * Return the instance that allows every region.
	 * @return an instance without a restriction
	 */
	public static AllowedRegions any() {
		return ANY;
	}

	/**
	 * Create a restriction to the given regions.
	 * @param names the names of the regions; if empty, no region is allowed
	 * @return the restriction
	 */
	public static AllowedRegions of(Collection<String> names) {
		return new AllowedRegions(Optional.of(Set.copyOf(names)));
	}

	/**
	 * Create the intersection of this restriction and another one.
	 * @param other the other restriction
	 * @return the regions allowed by both; no region if they have none in common
	 */
	public AllowedRegions intersect(AllowedRegions other) {
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
	 * Determine whether a request may be served in a region.
	 * @param region the region's name, or empty if it is unknown
	 * @return {@code true} if the region is allowed; an unknown region is allowed only
	 * without a restriction
	 */
	public boolean contains(Optional<String> region) {
		return this.names.isEmpty() || region.filter(this.names.get()::contains).isPresent();
	}

}
