package dev.laneworks.wire;

import java.util.Collections;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.poison.PartObservation;
import dev.laneworks.core.poison.PromptPartDigests;
import dev.laneworks.wire.proto.Protocol;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link PartObservationCodec}.
 */
class PartObservationCodecTests {

	private static final TargetIncarnation TARGET = TargetIncarnation.of("i-0123456789", 1_700_000_000_000L);

	@Test
	void decodesEncodedObservations() {
		List<PartObservation> observations = List.of(
				new PartObservation.Crash(TARGET, 12,
						List.of(new PromptPartDigests(-1, List.of(1L, Long.MIN_VALUE)),
								new PromptPartDigests(2, List.of()))),
				new PartObservation.Success(Long.MAX_VALUE, -7, 0));
		Protocol.EntryDatagram read = EntryDatagramCodec.decode(EntryDatagramCodec.encodeParts(observations)).get();
		assertThat(PartObservationCodec.decode(read.getParts())).isEqualTo(observations);
	}

	@Test
	void rejectsNegativeAgesAndTooManyParts() {
		Protocol.PartNews negative = Protocol.PartNews.newBuilder()
			.addSuccesses(Protocol.PartSuccess.newBuilder().setAgeMillis(-1))
			.build();
		assertThrows(IllegalArgumentException.class, () -> PartObservationCodec.decode(negative));
		Protocol.PartNews tooMany = Protocol.PartNews.newBuilder()
			.addCrashes(Protocol.PartCrash.newBuilder()
				.addPrompts(Protocol.PromptParts.newBuilder()
					.addAllParts(Collections.nCopies(PromptPartDigests.MAX_PARTS + 1, 1L))))
			.build();
		assertThrows(IllegalArgumentException.class, () -> PartObservationCodec.decode(tooMany));
	}

	// Guards against the crash of a busy target whose report exceeds a datagram.
	@Test
	void largestCrashFitsIntoDatagram() {
		List<PromptPartDigests> prompts = IntStream.range(0, 32)
			.mapToObj((i) -> new PromptPartDigests(i,
					LongStream.range(0, PromptPartDigests.MAX_PARTS).map((p) -> -p).boxed().toList()))
			.toList();
		List<PartObservation> crash = List.of(new PartObservation.Crash(TARGET, 600_000, prompts));
		assertThat(EntryDatagramCodec.encodeParts(crash).length).isLessThan(32 * 1024);
	}

}
