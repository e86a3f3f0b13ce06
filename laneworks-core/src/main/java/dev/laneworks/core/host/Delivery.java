package dev.laneworks.core.host;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.verdict.Refusal;
import dev.laneworks.core.verdict.RefusalReason;
import dev.laneworks.core.verdict.Verdict;

/**
 * Delivers the output of each generation to its reader, within the reader's credit.
 */
final class Delivery {

	private final HostOutputs outputs;

	private final Map<ReaderKey, Generation> generationsByReader = new HashMap<>();

	Delivery(HostOutputs outputs) {
		this.outputs = outputs;
	}

	Optional<Generation> find(long link, StreamId stream) {
		return Optional.ofNullable(this.generationsByReader.get(new ReaderKey(link, stream)));
	}

	void attachReader(Generation generation, Reader reader) {
		generation.reader().ifPresent((r) -> this.generationsByReader.remove(ReaderKey.of(r)));
		generation.setReader(reader);
		this.generationsByReader.put(ReaderKey.of(reader), generation);
	}

	// Attach another reader to a generation and notify the previous one.
	void replaceReader(Generation generation, Reader reader, long now) {
		generation.reader()
			.filter((r) -> r.link() != reader.link() || !r.stream().equals(reader.stream()))
			.ifPresent((r) -> this.outputs.send(r.link(),
					new SidecarMessage.Refused(r.stream(), supersededRefusal(generation))));
		attachReader(generation, reader);
		this.outputs.send(reader.link(), new SidecarMessage.Accepted(reader.stream(), generation.name(), 0));
		sendAvailable(generation, now);
	}

	void detachReader(Generation generation, long now) {
		generation.reader().ifPresent((r) -> this.generationsByReader.remove(ReaderKey.of(r)));
		generation.removeReader(now);
	}

	void grantCredit(Generation generation, long limit, long now) {
		generation.reader().ifPresent((r) -> r.raiseCreditLimit(limit));
		sendAvailable(generation, now);
	}

	// Send the available output within the credit, and the final answer after the last
	// chunk.
	void sendAvailable(Generation generation, long now) {
		Reader reader = generation.reader().orElse(null);
		if (reader == null) {
			return;
		}
		int size = generation.log().size();
		while (reader.nextOffset() < size && reader.hasCredit()) {
			int offset = (int) reader.nextOffset();
			this.outputs.send(reader.link(),
					new SidecarMessage.Chunk(reader.stream(), offset, generation.log().get(offset)));
			reader.advance();
		}
		if (reader.nextOffset() >= size && generation.state().isFinished()) {
			detachReader(generation, now);
			generation.setDelivered();
			this.outputs.send(reader.link(), finalAnswer(generation, reader));
		}
	}

	private static SidecarMessage finalAnswer(Generation generation, Reader reader) {
		if (generation.state() == GenerationState.FAILED) {
			return new SidecarMessage.Refused(reader.stream(), generation.refusal());
		}
		int size = generation.log().size();
		if (reader.nextOffset() > size) {
			return new SidecarMessage.Refused(reader.stream(), Refusal.ranInPart(RefusalReason.BAD_REQUEST,
					"the requested offset lies beyond the end of the output"));
		}
		return new SidecarMessage.End(reader.stream(), size, generation.finishReason());
	}

	private static Refusal supersededRefusal(Generation generation) {
		return new Refusal(generation.hasStarted() ? Verdict.RAN : Verdict.MAY_HAVE_RUN, RefusalReason.SUPERSEDED,
				"another reader took over the stream", Optional.empty());
	}

	/**
	 * Key of a reader.
	 *
	 * @param link the id of the link
	 * @param stream the id of the attempt
	 */
	private record ReaderKey(long link, StreamId stream) {

		static ReaderKey of(Reader reader) {
			return new ReaderKey(reader.link(), reader.stream());
		}

	}

}
