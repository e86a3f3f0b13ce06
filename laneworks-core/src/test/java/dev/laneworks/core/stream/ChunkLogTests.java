package dev.laneworks.core.stream;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link ChunkLog}. They guard against lost or altered chunks.
 */
class ChunkLogTests {

	@Property(seed = "3", tries = 100)
	void returnsEachAppendedChunk(@ForAll @Size(max = 200) List<byte[]> chunks) {
		ChunkLog log = new ChunkLog();
		chunks.forEach(log::append);
		assertThat(log.size()).isEqualTo(chunks.size());
		for (int i = 0; i < chunks.size(); i++) {
			assertThat(log.get(i)).isEqualTo(chunks.get(i));
		}
	}

	@Test
	void rejectsAnOffsetBeyondTheEnd() {
		assertThrows(IndexOutOfBoundsException.class, () -> new ChunkLog().get(0));
	}

}
