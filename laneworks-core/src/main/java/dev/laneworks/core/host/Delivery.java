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
 * Brings each generation's output to its one reader, within what the reader allows.
 */
final class Delivery {

	private final HostOutputs outputs;

	private final Map<ReaderKey, Generation> readers = new HashMap<>();

	Delivery(HostOutputs outputs) {
		this.outputs = outputs;
	}

	Optional<Generation> find(long link, StreamId stream) {
		return Optional.ofNullable(this.readers.get(new ReaderKey(link, stream)));
	}

	// Gives a generation a reader before anything was delivered.
	void assign(Generation generation, Reader reader) {
		generation.reader().ifPresent((r) -> this.readers.remove(ReaderKey.of(r)));
		generation.readBy(reader);
		this.readers.put(ReaderKey.of(reader), generation);
	}

	// Gives a generation another reader; the one before is told.
	void takeOver(Generation generation, Reader reader, long now) {
		generation.reader()
			.filter((r) -> r.link() != reader.link() || !r.stream().equals(reader.stream()))
			.ifPresent(
					(r) -> this.outputs.send(r.link(), new SidecarMessage.Refused(r.stream(), superseded(generation))));
		assign(generation, reader);
		this.outputs.send(reader.link(), new SidecarMessage.Accepted(reader.stream(), generation.name(), 0));
		pump(generation, now);
	}

	void lose(Generation generation, long now) {
		generation.reader().ifPresent((r) -> this.readers.remove(ReaderKey.of(r)));
		generation.loseReader(now);
	}

	void allow(Generation generation, long limit, long now) {
		generation.reader().ifPresent((r) -> r.allow(limit));
		pump(generation, now);
	}

	// Sends what there is and is allowed, and the final answer behind the last piece.
	void pump(Generation generation, long now) {
		Reader reader = generation.reader().orElse(null);
		if (reader == null) {
			return;
		}
		int size = generation.log().size();
		while (reader.nextOffset() < size && reader.mayTake()) {
			int offset = (int) reader.nextOffset();
			this.outputs.send(reader.link(),
					new SidecarMessage.Chunk(reader.stream(), offset, generation.log().get(offset)));
			reader.advance();
		}
		if (reader.nextOffset() >= size && generation.state().isOver()) {
			lose(generation, now);
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
			return new SidecarMessage.Refused(reader.stream(),
					Refusal.ran(RefusalReason.BAD_REQUEST, "the position lies behind the end of the output"));
		}
		return new SidecarMessage.End(reader.stream(), size, generation.finishReason());
	}

	private static Refusal superseded(Generation generation) {
		return new Refusal(generation.hasStarted() ? Verdict.RAN : Verdict.MAY_HAVE_RUN, RefusalReason.SUPERSEDED,
				"another reader took over the stream", Optional.empty());
	}

	/**
	 * Names a reader.
	 *
	 * @param link the link
	 * @param stream the attempt
	 */
	private record ReaderKey(long link, StreamId stream) {

		static ReaderKey of(Reader reader) {
			return new ReaderKey(reader.link(), reader.stream());
		}

	}

}
