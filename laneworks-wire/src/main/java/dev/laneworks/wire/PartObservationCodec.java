package dev.laneworks.wire;

import java.util.ArrayList;
import java.util.List;

import dev.laneworks.core.poison.PartObservation;
import dev.laneworks.core.poison.PromptPartDigests;
import dev.laneworks.wire.proto.Protocol;

/**
 * Encodes observations of prompt parts for the wire and decodes them.
 */
final class PartObservationCodec {

	private PartObservationCodec() {
	}

	static Protocol.PartNews encode(List<PartObservation> observations) {
		Protocol.PartNews.Builder builder = Protocol.PartNews.newBuilder();
		for (PartObservation observation : observations) {
			if (observation instanceof PartObservation.Crash crash) {
				builder.addCrashes(encode(crash));
			}
			else if (observation instanceof PartObservation.Success success) {
				builder.addSuccesses(Protocol.PartSuccess.newBuilder()
					.setAccount(success.account())
					.setPart(success.part())
					.setAgeMillis(success.ageMillis()));
			}
		}
		return builder.build();
	}

	/**
	 * Decode the observations of a datagram.
	 * @param encoded the encoded observations
	 * @return the observations, crashes before successes
	 * @throws IllegalArgumentException if an age is negative or a prompt has too many
	 * parts
	 */
	static List<PartObservation> decode(Protocol.PartNews encoded) {
		List<PartObservation> observations = new ArrayList<>();
		encoded.getCrashesList()
			.forEach((c) -> observations
				.add(new PartObservation.Crash(TargetIncarnationFormat.parse(c.getTarget()), c.getAgeMillis(),
						c.getPromptsList()
							.stream()
							.map((p) -> new PromptPartDigests(p.getAccount(), p.getPartsList()))
							.toList())));
		encoded.getSuccessesList()
			.forEach((s) -> observations
				.add(new PartObservation.Success(s.getAccount(), s.getPart(), s.getAgeMillis())));
		return observations;
	}

	private static Protocol.PartCrash encode(PartObservation.Crash crash) {
		Protocol.PartCrash.Builder builder = Protocol.PartCrash.newBuilder()
			.setTarget(TargetIncarnationFormat.format(crash.incarnation()))
			.setAgeMillis(crash.ageMillis());
		crash.suspects()
			.forEach((s) -> builder
				.addPrompts(Protocol.PromptParts.newBuilder().setAccount(s.account()).addAllParts(s.parts())));
		return builder.build();
	}

}
