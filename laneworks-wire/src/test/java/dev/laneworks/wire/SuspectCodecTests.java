package dev.laneworks.wire;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.protobuf.UnknownFieldSet;
import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.poison.SuspectReport;
import dev.laneworks.core.poison.TargetCrash;
import dev.laneworks.wire.proto.Protocol;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Tests for {@link SuspectCodec}.
 */
class SuspectCodecTests {

	private static final RequestDigest DIGEST = new RequestDigest(-1, Long.MIN_VALUE, 7);

	@Test
	void decodesEncodedReports() {
		List<SuspectReport> reports = List.of(
				new SuspectReport(DIGEST,
						List.of(new TargetCrash(TargetIncarnation.of("i-a", 1_700_000_000_000L), 12),
								new TargetCrash(TargetIncarnation.of("i@b"), 0)),
						OptionalLong.empty()),
				new SuspectReport(new RequestDigest(0, 0, 0), List.of(), OptionalLong.of(0)));
		Optional<Protocol.EntryDatagram> read = EntryDatagramCodec.decode(EntryDatagramCodec.encode(reports));
		assertThat(SuspectCodec.decode(read.get().getSuspects())).isEqualTo(reports);
	}

	// Guards against an error at an entry of an older version that lacks this message.
	@Test
	void unknownMessageDecodesAsEmptyDatagram() {
		byte[] unknownMessage = Protocol.EntryDatagram.newBuilder()
			.setProtocol(2)
			.setUnknownFields(UnknownFieldSet.newBuilder()
				.addField(99, UnknownFieldSet.Field.newBuilder().addVarint(1).build())
				.build())
			.build()
			.toByteArray();
		assertThat(EntryDatagramCodec.decode(unknownMessage).get().getKindCase())
			.isEqualTo(Protocol.EntryDatagram.KindCase.KIND_NOT_SET);
	}

	@Test
	void rejectsNegativeAge() {
		Protocol.SuspectNews encoded = Protocol.SuspectNews.newBuilder()
			.addReports(Protocol.SuspectReport.newBuilder()
				.addEnds(Protocol.EndedRun.newBuilder().setTarget("a@").setAgeMillis(-1)))
			.build();
		assertThrows(IllegalArgumentException.class, () -> SuspectCodec.decode(encoded));
	}

	// Guards against reports that exceed a datagram.
	@Test
	void maximumNumberOfReportsFitsIntoDatagram() {
		SuspectReport report = new SuspectReport(DIGEST,
				List.of(crash("i-0123456789"), crash("i-1123456789"), crash("i-2123456789")), OptionalLong.of(600_000));
		assertThat(EntryDatagramCodec.encode(Collections.nCopies(64, report)).length).isLessThan(16 * 1024);
	}

	private static TargetCrash crash(String target) {
		return new TargetCrash(TargetIncarnation.of(target, 1_700_000_000_000L), 600_000);
	}

}
