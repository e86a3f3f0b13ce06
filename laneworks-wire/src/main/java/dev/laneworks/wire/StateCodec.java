package dev.laneworks.wire;

import com.google.protobuf.ByteString;
import dev.laneworks.core.handover.StatePiece;
import dev.laneworks.core.handover.StateQuestion;
import dev.laneworks.wire.proto.Protocol;

/**
 * Turns questions for a state and its pieces into their form on the wire and back.
 */
final class StateCodec {

	private StateCodec() {
	}

	static Protocol.StateQuestion encode(StateQuestion question) {
		return Protocol.StateQuestion.newBuilder()
			.setRevision(question.revision())
			.setFirstPiece(question.firstPiece())
			.build();
	}

	// Throws an IllegalArgumentException where the sender made up numbers.
	static StateQuestion decode(Protocol.StateQuestion question) {
		return new StateQuestion(question.getRevision(), question.getFirstPiece());
	}

	static Protocol.StatePiece encode(StatePiece piece) {
		return Protocol.StatePiece.newBuilder()
			.setRevision(piece.revision())
			.setAgeMillis(piece.ageMillis())
			.setNumber(piece.number())
			.setCount(piece.count())
			.setData(ByteString.copyFrom(piece.data()))
			.build();
	}

	// Throws an IllegalArgumentException where the sender made up numbers.
	static StatePiece decode(Protocol.StatePiece piece) {
		return new StatePiece(piece.getRevision(), piece.getAgeMillis(), piece.getNumber(), piece.getCount(),
				piece.getData().toByteArray());
	}

}
