package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;

import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.follow.StoreNews;
import dev.laneworks.wire.proto.Protocol;

/**
 * Turns what an entry read of the platform's store into its form on the wire and back.
 */
final class StoreNewsCodec {

	private StoreNewsCodec() {
	}

	static Protocol.StoreNews encode(StoreNews news) {
		Protocol.StoreNews.Builder builder = Protocol.StoreNews.newBuilder()
			.setReader(news.reader())
			.setGroup(news.group())
			.setReturning(news.returning())
			.setFrom(news.from())
			.setTo(news.to())
			.setKind(encode(news.kind()));
		news.changes().forEach((c) -> builder.addChanges(encode(c)));
		return builder.build();
	}

	static StoreNews decode(Protocol.StoreNews news) {
		List<StoreChange> changes = news.getChangesList().stream().map(StoreNewsCodec::decode).toList();
		return new StoreNews(news.getReader(), news.getGroup(), news.getFrom(), news.getTo(), changes,
				news.getReturning(), decode(news.getKind()));
	}

	private static Protocol.StoreNewsKind encode(StoreNews.Kind kind) {
		return switch (kind) {
			case READ -> Protocol.StoreNewsKind.STORE_NEWS_READ;
			case QUESTION -> Protocol.StoreNewsKind.STORE_NEWS_QUESTION;
			case PASSED_ON -> Protocol.StoreNewsKind.STORE_NEWS_PASSED_ON;
		};
	}

	private static StoreNews.Kind decode(Protocol.StoreNewsKind kind) {
		return switch (kind) {
			case STORE_NEWS_READ -> StoreNews.Kind.READ;
			case STORE_NEWS_QUESTION -> StoreNews.Kind.QUESTION;
			case STORE_NEWS_PASSED_ON -> StoreNews.Kind.PASSED_ON;
			case UNRECOGNIZED -> throw new IllegalArgumentException("news of an unknown kind");
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
