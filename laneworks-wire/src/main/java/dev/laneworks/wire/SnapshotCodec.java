package dev.laneworks.wire;

import com.google.protobuf.ByteString;
import dev.laneworks.core.handover.SnapshotChunk;
import dev.laneworks.core.handover.SnapshotRequest;
import dev.laneworks.wire.proto.Protocol;

/**
 * Encodes requests for a snapshot and its chunks for the wire and decodes them.
 * <p>
 * Decoding throws an {@link IllegalArgumentException} if a number is out of range.
 */
final class SnapshotCodec {

	private SnapshotCodec() {
	}

	static Protocol.StateQuestion encode(SnapshotRequest request) {
		return Protocol.StateQuestion.newBuilder()
			.setRevision(request.revision())
			.setFirstPiece(request.firstChunk())
			.setNewerThan(request.newerThan())
			.build();
	}

	static SnapshotRequest decode(Protocol.StateQuestion request) {
		return new SnapshotRequest(request.getRevision(), request.getFirstPiece(), request.getNewerThan());
	}

	static Protocol.StatePiece encode(SnapshotChunk chunk) {
		return Protocol.StatePiece.newBuilder()
			.setRevision(chunk.revision())
			.setAgeMillis(chunk.ageMillis())
			.setNumber(chunk.number())
			.setCount(chunk.count())
			.setData(ByteString.copyFrom(chunk.data()))
			.build();
	}

	static SnapshotChunk decode(Protocol.StatePiece chunk) {
		return new SnapshotChunk(chunk.getRevision(), chunk.getAgeMillis(), chunk.getNumber(), chunk.getCount(),
				chunk.getData().toByteArray());
	}

}
