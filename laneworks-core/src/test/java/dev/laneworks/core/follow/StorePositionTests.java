package dev.laneworks.core.follow;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests the order of positions in the histories of a store.
 */
class StorePositionTests {

	@Test
	void aStoreThatTellsNoEraIsPositionedByItsRevisions() {
		assertThat(new StorePosition(0, 125).number()).isEqualTo(125);
		assertThat(StorePosition.of(125).toString()).isEqualTo("125");
	}

	@Test
	void positionsAreOrderedByEraFirst() {
		long lost = new StorePosition(1, 125).number();
		long again = new StorePosition(2, 101).number();
		assertThat(again).isGreaterThan(lost);
		assertThat(StorePosition.of(again)).isEqualTo(new StorePosition(2, 101));
		assertThat(StorePosition.of(again).toString()).isEqualTo("101 of era 2");
		assertThat(StorePosition.areOfOneEra(lost, again)).isFalse();
		assertThat(StorePosition.areOfOneEra(lost, lost + 9)).isTrue();
		assertThat(StorePosition.areOfOneEra(-1, 0)).isFalse();
	}

	@Test
	void theHighestPositionIsANumberAboveAllOthers() {
		StorePosition highest = new StorePosition(StorePosition.MOST_ERA, StorePosition.MOST_REVISION);
		assertThat(StorePosition.of(highest.number())).isEqualTo(highest);
		assertThat(highest.number()).isGreaterThan(0L);
		assertThrows(IllegalArgumentException.class, () -> new StorePosition(StorePosition.MOST_ERA + 1, 0));
		assertThrows(IllegalArgumentException.class, () -> new StorePosition(0, StorePosition.MOST_REVISION + 1));
	}

}
