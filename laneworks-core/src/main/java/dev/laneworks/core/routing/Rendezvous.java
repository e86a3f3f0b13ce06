package dev.laneworks.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing, which ranks nodes for a key by highest random weight.
 * <p>
 * Every instance with the same nodes computes the same ranking. If a node is added or
 * removed, only the keys that map to it move.
 *
 * @since 0.1
 */
public final class Rendezvous {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private Rendezvous() {
	}

	/**
	 * Hash a string to a key.
	 * @param text the string
	 * @return a 64-bit hash
	 */
	public static long hash(String text) {
		return HASH.hashChars(text);
	}

	/**
	 * Compute the weight of a node for a key.
	 * @param key the hash of the key, see {@link #hash}
	 * @param node the name of the node
	 * @return the weight, to be compared as an unsigned number
	 */
	public static long weight(long key, String node) {
		long mixed = key * 0x9E3779B97F4A7C15L ^ HASH.hashChars(node);
		mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
		mixed = (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
		return mixed ^ (mixed >>> 32);
	}

	/**
	 * Return the node with the highest weight.
	 * @param <N> the type of node
	 * @param key the hash of the key, see {@link #hash}
	 * @param nodes the candidates
	 * @param name extracts the name of a node
	 * @return the node, or empty if there are none
	 */
	public static <N> Optional<N> first(long key, Collection<N> nodes, Function<N, String> name) {
		N best = null;
		long bestWeight = 0;
		for (N node : nodes) {
			long weight = weight(key, name.apply(node));
			if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
				best = node;
				bestWeight = weight;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Return the nodes with the highest weights.
	 * @param <N> the type of node
	 * @param key the hash of the key, see {@link #hash}
	 * @param nodes the candidates
	 * @param name extracts the name of a node
	 * @param count the most nodes to return
	 * @return the nodes, highest weight first
	 */
	public static <N> List<N> top(long key, Collection<N> nodes, Function<N, String> name, int count) {
		Comparator<Weighted<N>> highestFirst = (a, b) -> Long.compareUnsigned(b.weight(), a.weight());
		return nodes.stream()
			.map((n) -> new Weighted<>(n, weight(key, name.apply(n))))
			.sorted(highestFirst)
			.limit(count)
			.map(Weighted::node)
			.toList();
	}

	private record Weighted<N>(N node, long weight) {

	}

}
