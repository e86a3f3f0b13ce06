package dev.laneworks.core.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import net.openhft.hashing.LongHashFunction;

/**
 * Ranks nodes for a key by highest random weight.
 * <p>
 * Every instance that knows the same nodes ranks them the same way. When a node comes or
 * goes only the keys that it wins or won move.
 *
 * @since 0.1
 */
public final class Rendezvous {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private Rendezvous() {
	}

	/**
	 * Hash a text to a key.
	 * @param text the text
	 * @return the key
	 */
	public static long hash(String text) {
		return HASH.hashChars(text);
	}

	/**
	 * Return the weight of a node for a key.
	 * @param key the key
	 * @param node the node's name
	 * @return the weight, compared as an unsigned number
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
	 * @param key the key
	 * @param nodes the nodes
	 * @param name gives a node's name
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
	 * Return the nodes with the highest weights, highest first.
	 * @param <N> the type of node
	 * @param key the key
	 * @param nodes the nodes
	 * @param name gives a node's name
	 * @param count how many
	 * @return at most {@code count} nodes
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
