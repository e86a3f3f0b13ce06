package dev.laneworks.wire;

import java.util.List;
import java.util.OptionalLong;

import dev.laneworks.core.poison.RequestDigest;
import dev.laneworks.core.poison.SuspectReport;
import dev.laneworks.core.poison.TargetCrash;
import dev.laneworks.wire.proto.Protocol;

/**
 * Encodes reports of requests during which targets crashed for the wire and decodes them.
 */
final class SuspectCodec {

	private SuspectCodec() {
	}

	static Protocol.SuspectNews encode(List<SuspectReport> reports) {
		Protocol.SuspectNews.Builder builder = Protocol.SuspectNews.newBuilder();
		reports.forEach((r) -> builder.addReports(encode(r)));
		return builder.build();
	}

	/**
	 * Decode the reports of a datagram.
	 * @param encoded the encoded reports
	 * @return the reports in the order of the datagram
	 * @throws IllegalArgumentException if an age is negative
	 */
	static List<SuspectReport> decode(Protocol.SuspectNews encoded) {
		return encoded.getReportsList().stream().map(SuspectCodec::decode).toList();
	}

	private static Protocol.SuspectReport encode(SuspectReport report) {
		RequestDigest digest = report.digest();
		Protocol.SuspectReport.Builder builder = Protocol.SuspectReport.newBuilder()
			.setCaller(digest.account())
			.setHigh(digest.high())
			.setLow(digest.low());
		report.crashes()
			.forEach((c) -> builder.addEnds(Protocol.EndedRun.newBuilder()
				.setTarget(TargetIncarnationFormat.format(c.incarnation()))
				.setAgeMillis(c.ageMillis())));
		report.completionAgeMillis().ifPresent(builder::setSoundAgeMillis);
		return builder.build();
	}

	private static SuspectReport decode(Protocol.SuspectReport report) {
		RequestDigest digest = new RequestDigest(report.getCaller(), report.getHigh(), report.getLow());
		List<TargetCrash> crashes = report.getEndsList()
			.stream()
			.map((e) -> new TargetCrash(TargetIncarnationFormat.parse(e.getTarget()), e.getAgeMillis()))
			.toList();
		OptionalLong soundAge = report.hasSoundAgeMillis() ? OptionalLong.of(report.getSoundAgeMillis())
				: OptionalLong.empty();
		return new SuspectReport(digest, crashes, soundAge);
	}

}
