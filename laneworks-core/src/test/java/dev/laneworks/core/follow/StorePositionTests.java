package dev.laneworks.core.follow;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link StorePosition}.
 */
class StorePositionTests {

	@Test
	void positionsOfAStoreWithoutErasEqualItsRevisions() {
		assertThat(new StorePosition(0, 125).number()).isEqualTo(125);
		assertThat(StorePosition.of(125).toString()).isEqualTo("125");
	}

	@Test
	void positionsAreOrderedByEraFirst() {
		long beforeRestore = new StorePosition(1, 125).number();
		long afterRestore = new StorePosition(2, 101).number();
		assertThat(afterRestore).isGreaterThan(beforeRestore);
		assertThat(StorePosition.of(afterRestore)).isEqualTo(new StorePosition(2, 101));
		assertThat(StorePosition.of(afterRestore).toString()).isEqualTo("101 of era 2");
		assertThat(StorePosition.isSameEra(beforeRestore, afterRestore)).isFalse();
		assertThat(StorePosition.isSameEra(beforeRestore, beforeRestore + 9)).isTrue();
		assertThat(StorePosition.isSameEra(-1, 0)).isFalse();
	}

	@Test
	void encodesTheHighestPosition() {
		StorePosition highest = new StorePosition(StorePosition.MAX_ERA, StorePosition.MAX_REVISION);
		assertThat(StorePosition.of(highest.number())).isEqualTo(highest);
		assertThat(highest.number()).isGreaterThan(0L);
		assertThrows(IllegalArgumentException.class, () -> new StorePosition(StorePosition.MAX_ERA + 1, 0));
		assertThrows(IllegalArgumentException.class, () -> new StorePosition(0, StorePosition.MAX_REVISION + 1));
	}

}
