package dev.laneworks.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link Rendezvous}.
 */
class RendezvousTests {

	private static final int KEYS = 20_000;

	private final List<String> nodes = IntStream.range(0, 20).mapToObj((i) -> "node-" + i).toList();

	@Test
	void spreadsKeysEvenly() {
		Map<String, Integer> counts = new HashMap<>();
		for (int key = 0; key < KEYS; key++) {
			counts.merge(first(key, this.nodes), 1, Integer::sum);
		}
		int mean = KEYS / this.nodes.size();
		assertThat(counts).hasSize(this.nodes.size());
		counts.values().forEach((c) -> assertThat(c).isIn(Range.closed(mean * 8 / 10, mean * 12 / 10)));
	}

	@Test
	void movesOnlyTheKeysOfARemovedNode() {
		List<String> remaining = this.nodes.subList(1, this.nodes.size());
		for (int key = 0; key < KEYS; key++) {
			String before = first(key, this.nodes);
			if (!before.equals(this.nodes.get(0))) {
				assertThat(first(key, remaining)).isEqualTo(before);
			}
		}
	}

	@Test
	void topStartsWithTheFirst() {
		for (int key = 0; key < 100; key++) {
			List<String> top = Rendezvous.top(Rendezvous.hash("key" + key), this.nodes, Function.identity(), 3);
			assertThat(top).hasSize(3);
			assertThat(top.get(0)).isEqualTo(first(key, this.nodes));
		}
	}

	private static String first(int key, List<String> nodes) {
		return Rendezvous.first(Rendezvous.hash("key" + key), nodes, Function.identity()).orElseThrow();
	}

}
