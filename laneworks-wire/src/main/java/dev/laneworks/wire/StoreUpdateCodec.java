package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.follow.StoreUpdate;
import dev.laneworks.wire.proto.Protocol;

/**
 * Encodes updates of the platform's store for the wire and decodes them.
 */
final class StoreUpdateCodec {

	private StoreUpdateCodec() {
	}

	static Protocol.StoreNews encode(StoreUpdate update) {
		Protocol.StoreNews.Builder builder = Protocol.StoreNews.newBuilder()
			.setReader(update.sender())
			.setGroup(update.group())
			.setReturning(update.recovering())
			.setFrom(update.from())
			.setTo(update.to())
			.setKind(encode(update.kind()));
		update.changes().forEach((c) -> builder.addChanges(encode(c)));
		return builder.build();
	}

	static StoreUpdate decode(Protocol.StoreNews update) {
		List<StoreChange> changes = update.getChangesList().stream().map(StoreUpdateCodec::decode).toList();
		return new StoreUpdate(update.getReader(), update.getGroup(), update.getFrom(), update.getTo(), changes,
				update.getReturning(), decode(update.getKind()));
	}

	private static Protocol.StoreNewsKind encode(StoreUpdate.Kind kind) {
		return switch (kind) {
			case READ -> Protocol.StoreNewsKind.STORE_NEWS_READ;
			case REQUEST -> Protocol.StoreNewsKind.STORE_NEWS_QUESTION;
			case FORWARDED -> Protocol.StoreNewsKind.STORE_NEWS_PASSED_ON;
		};
	}

	private static StoreUpdate.Kind decode(Protocol.StoreNewsKind kind) {
		return switch (kind) {
			case STORE_NEWS_READ -> StoreUpdate.Kind.READ;
			case STORE_NEWS_QUESTION -> StoreUpdate.Kind.REQUEST;
			case STORE_NEWS_PASSED_ON -> StoreUpdate.Kind.FORWARDED;
			case UNRECOGNIZED -> throw new IllegalArgumentException("unknown kind of store update");
		};
	}

	private static Protocol.StoreChange encode(StoreChange change) {
		Protocol.StoreChange.Builder builder = Protocol.StoreChange.newBuilder()
			.setKey(change.key())
			.setRevision(change.revision());
		change.item().ifPresent((i) -> builder.setValue(i.value()));
		return builder.build();
	}

	private static StoreChange decode(Protocol.StoreChange change) {
		Optional<StoreItem> item = change.hasValue()
				? Optional.of(new StoreItem(change.getKey(), change.getValue(), change.getRevision()))
				: Optional.empty();
		return new StoreChange(change.getKey(), item, change.getRevision());
	}

}
