package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.laneworks.core.follow.StoreChange;
import dev.laneworks.core.follow.StoreItem;
import dev.laneworks.core.follow.StoreNews;
import dev.laneworks.wire.proto.Protocol;
import org.tinylog.Logger;

/**
 * Turns what entries tell each other into datagrams and back.
 */
final class EntryDatagrams {

	private static final int VERSION = 2;

	private EntryDatagrams() {
	}

	static byte[] of(Protocol.EntryNews work) {
		return Protocol.EntryDatagram.newBuilder().setProtocol(VERSION).setWork(work).build().toByteArray();
	}

	static byte[] of(StoreNews news) {
		Protocol.StoreNews.Builder store = Protocol.StoreNews.newBuilder()
			.setReader(news.reader())
			.setFrom(news.from())
			.setTo(news.to())
			.setAsks(news.asks());
		news.changes().forEach((c) -> store.addChanges(encode(c)));
		return Protocol.EntryDatagram.newBuilder().setProtocol(VERSION).setStore(store).build().toByteArray();
	}

	static Optional<Protocol.EntryDatagram> read(byte[] datagram) {
		try {
			Protocol.EntryDatagram read = Protocol.EntryDatagram.parseFrom(datagram);
			if (read.getProtocol() != VERSION) {
				Logger.info("a datagram of protocol version {} is passed over", read.getProtocol());
				return Optional.empty();
			}
			return Optional.of(read);
		}
		catch (InvalidProtocolBufferException ex) {
			Logger.info("a datagram that is no news is passed over: {}", ex.getMessage());
			return Optional.empty();
		}
	}

	static StoreNews decode(Protocol.StoreNews news) {
		List<StoreChange> changes = news.getChangesList().stream().map(EntryDatagrams::decode).toList();
		return new StoreNews(news.getReader(), news.getFrom(), news.getTo(), changes, news.getAsks());
	}

	private static Protocol.StoreChange encode(StoreChange change) {
		Protocol.StoreChange.Builder builder = Protocol.StoreChange.newBuilder()
			.setKey(change.key())
			.setRevision(change.revision());
		change.item().ifPresent((i) -> builder.setValue(i.value()));
		return builder.build();
	}

	private static StoreChange decode(Protocol.StoreChange change) {
		Optional<StoreItem> item = change.hasValue() ? Optional.of(new StoreItem(change.getKey(), change.getValue()))
				: Optional.empty();
		return new StoreChange(change.getKey(), item, change.getRevision());
	}

}
