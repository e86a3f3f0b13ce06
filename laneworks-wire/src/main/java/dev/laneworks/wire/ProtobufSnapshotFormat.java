package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.handover.SnapshotFormat;
import dev.laneworks.wire.proto.Protocol;
import org.tinylog.Logger;

/**
 * Protobuf encoding of the items of a store snapshot.
 *
 * @since 0.2
 */
public final class ProtobufSnapshotFormat implements SnapshotFormat {

	@Override
	public byte[] encode(List<StoreItem> items) {
		Protocol.StoreItems.Builder builder = Protocol.StoreItems.newBuilder();
		items.forEach((i) -> builder
			.addItems(Protocol.StoreItem.newBuilder().setKey(i.key()).setValue(i.value()).setRevision(i.revision())));
		return builder.build().toByteArray();
	}

	@Override
	public Optional<List<StoreItem>> decode(byte[] bytes) {
		try {
			return Optional.of(Protocol.StoreItems.parseFrom(bytes)
				.getItemsList()
				.stream()
				.map((i) -> new StoreItem(i.getKey(), i.getValue(), i.getRevision()))
				.toList());
		}
		catch (InvalidProtocolBufferException ex) {
			Logger.info("ignored a malformed snapshot from another entry: {}", ex.getMessage());
			return Optional.empty();
		}
	}

}
