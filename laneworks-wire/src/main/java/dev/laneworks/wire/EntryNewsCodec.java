package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import dev.laneworks.core.gossip.EntryNews;
import dev.laneworks.core.gossip.ServiceSpending;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.wire.proto.Protocol;
import org.tinylog.Logger;

/**
 * Turns the news of entries into datagrams and back.
 */
final class EntryNewsCodec {

	private static final int VERSION = 1;

	private EntryNewsCodec() {
	}

	static byte[] encode(EntryNews news) {
		Protocol.EntryNews.Builder builder = Protocol.EntryNews.newBuilder()
			.setProtocol(VERSION)
			.setInstance(news.instance())
			.setIncarnation(news.incarnation())
			.setSequence(news.sequence())
			.setEnding(news.ending())
			.setDataCentre(news.dataCentre())
			.setPartial(news.partial())
			.setAgainMillis((int) news.againMillis())
			.addAllPeers(news.peers());
		news.work().forEach((w) -> builder.addWork(encode(w)));
		news.spending().forEach((s) -> builder.addSpending(encode(s)));
		return builder.build().toByteArray();
	}

	static Optional<EntryNews> decode(byte[] datagram) {
		try {
			Protocol.EntryNews news = Protocol.EntryNews.parseFrom(datagram);
			if (news.getProtocol() != VERSION) {
				Logger.info("news of protocol version {} are passed over", news.getProtocol());
				return Optional.empty();
			}
			List<WorkAtTarget> work = news.getWorkList().stream().map(EntryNewsCodec::decode).toList();
			return Optional.of(new EntryNews(news.getInstance(), news.getDataCentre(), news.getIncarnation(),
					news.getSequence(), news.getEnding(), news.getPartial(), news.getAgainMillis(), work,
					news.getSpendingList().stream().map(EntryNewsCodec::decode).toList(), news.getPeersList()));
		}
		catch (InvalidProtocolBufferException ex) {
			Logger.info("a datagram that is no news is passed over: {}", ex.getMessage());
			return Optional.empty();
		}
	}

	private static Protocol.WorkAtTarget encode(WorkAtTarget work) {
		return Protocol.WorkAtTarget.newBuilder()
			.setTarget(work.target())
			.setRequests(work.requests())
			.setHeldTokens(work.heldTokens())
			.setUnreadTokens(work.unreadTokens())
			.setToMove(work.toMove())
			.setCopying(work.copying())
			.build();
	}

	private static Protocol.ServiceSpending encode(ServiceSpending spending) {
		return Protocol.ServiceSpending.newBuilder()
			.setService(spending.service())
			.setRequests(spending.requests())
			.setRepeats(spending.repeats())
			.build();
	}

	private static ServiceSpending decode(Protocol.ServiceSpending spending) {
		return new ServiceSpending(spending.getService(), spending.getRequests(), spending.getRepeats());
	}

	private static WorkAtTarget decode(Protocol.WorkAtTarget work) {
		return new WorkAtTarget(work.getTarget(), work.getRequests(), work.getHeldTokens(), work.getUnreadTokens(),
				work.getToMove(), work.getCopying());
	}

}
