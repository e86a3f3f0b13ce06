package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.laneworks.core.budget.RetryLoan;
import dev.laneworks.core.budget.RetryLoanRequest;
import dev.laneworks.core.follow.StoreUpdate;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.handover.SnapshotChunk;
import dev.laneworks.core.handover.SnapshotRequest;
import dev.laneworks.core.poison.PartObservation;
import dev.laneworks.core.poison.SuspectReport;
import dev.laneworks.wire.proto.Protocol;
import org.tinylog.Logger;

/**
 * Encodes the messages that entries exchange as datagrams and decodes them.
 */
final class EntryDatagramCodec {

	/** Version of the datagram format; datagrams of other versions are ignored. */
	private static final int VERSION = 2;

	private EntryDatagramCodec() {
	}

	static byte[] encode(LoadUpdate update) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setWork(LoadUpdateCodec.encode(update))
			.build()
			.toByteArray();
	}

	static byte[] encode(StoreUpdate update) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setStore(StoreUpdateCodec.encode(update))
			.build()
			.toByteArray();
	}

	static byte[] encode(SnapshotRequest request) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setQuestion(SnapshotCodec.encode(request))
			.build()
			.toByteArray();
	}

	static byte[] encode(SnapshotChunk chunk) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setPiece(SnapshotCodec.encode(chunk))
			.build()
			.toByteArray();
	}

	static byte[] encode(List<SuspectReport> reports) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setSuspects(SuspectCodec.encode(reports))
			.build()
			.toByteArray();
	}

	static byte[] encodeParts(List<PartObservation> observations) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setParts(PartObservationCodec.encode(observations))
			.build()
			.toByteArray();
	}

	static byte[] encode(RetryLoanRequest request) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setLoanRequest(RetryLoanCodec.encode(request))
			.build()
			.toByteArray();
	}

	static byte[] encode(RetryLoan loan) {
		return Protocol.EntryDatagram.newBuilder()
			.setProtocol(VERSION)
			.setLoan(RetryLoanCodec.encode(loan))
			.build()
			.toByteArray();
	}

	/**
	 * Decode a datagram.
	 * @param datagram the received bytes, from an untrusted sender
	 * @return the message; empty if it has another version or is malformed
	 */
	static Optional<Protocol.EntryDatagram> decode(byte[] datagram) {
		try {
			Protocol.EntryDatagram message = Protocol.EntryDatagram.parseFrom(datagram);
			if (message.getProtocol() != VERSION) {
				Logger.info("ignored a datagram of protocol version {}", message.getProtocol());
				return Optional.empty();
			}
			return Optional.of(message);
		}
		catch (InvalidProtocolBufferException ex) {
			Logger.info("ignored a malformed datagram: {}", ex.getMessage());
			return Optional.empty();
		}
	}

}
