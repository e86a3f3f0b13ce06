package dev.laneworks.core.stream;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link ChunkLog}.
 */
class ChunkLogTests {

	@Property(seed = "3", tries = 100)
	void givesBackEachPiece(@ForAll @Size(max = 200) List<byte[]> pieces) {
		ChunkLog log = new ChunkLog();
		pieces.forEach(log::append);
		assertThat(log.size()).isEqualTo(pieces.size());
		for (int i = 0; i < pieces.size(); i++) {
			assertThat(log.get(i)).isEqualTo(pieces.get(i));
		}
	}

	@Test
	void refusesAnOffsetBehindItsEnd() {
		assertThrows(IndexOutOfBoundsException.class, () -> new ChunkLog().get(0));
	}

}
