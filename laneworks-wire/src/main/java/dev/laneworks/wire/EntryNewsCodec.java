package dev.laneworks.wire;

import java.util.List;
import java.util.OptionalDouble;

import dev.laneworks.core.gossip.EntryNews;
import dev.laneworks.core.gossip.LimitNews;
import dev.laneworks.core.gossip.NeedsNews;
import dev.laneworks.core.gossip.ServiceSpending;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.wire.proto.Protocol;

/**
 * Turns an entry's news of its work into their form on the wire and back.
 */
final class EntryNewsCodec {

	private EntryNewsCodec() {
	}

	static Protocol.EntryNews encode(EntryNews news) {
		Protocol.EntryNews.Builder builder = Protocol.EntryNews.newBuilder()
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
		news.needs().limits().forEach((l) -> builder.addLimits(encode(l)));
		news.needs().leaving().forEach((t) -> builder.addLeaving(TargetRunForm.write(t)));
		return builder.build();
	}

	static EntryNews decode(Protocol.EntryNews news) {
		List<WorkAtTarget> work = news.getWorkList().stream().map(EntryNewsCodec::decode).toList();
		List<ServiceSpending> spending = news.getSpendingList().stream().map(EntryNewsCodec::decode).toList();
		NeedsNews needs = new NeedsNews(news.getLimitsList().stream().map(EntryNewsCodec::decode).toList(),
				news.getLeavingList().stream().map(TargetRunForm::read).toList());
		return new EntryNews(news.getInstance(), news.getDataCentre(), news.getIncarnation(), news.getSequence(),
				news.getEnding(), news.getPartial(), news.getAgainMillis(), work, spending, needs, news.getPeersList());
	}

	private static Protocol.WorkAtTarget encode(WorkAtTarget work) {
		return Protocol.WorkAtTarget.newBuilder()
			.setTarget(TargetRunForm.write(work.target()))
			.setRequests(work.requests())
			.setHeldTokens(work.heldTokens())
			.setUnreadTokens(work.unreadTokens())
			.setToMove(work.toMove())
			.setCopying(work.copying())
			.setRefused(work.refused())
			.setLeaving(work.leaving())
			.build();
	}

	private static Protocol.ServiceSpending encode(ServiceSpending spending) {
		return Protocol.ServiceSpending.newBuilder()
			.setService(spending.service())
			.setRequests(spending.requests())
			.setRepeats(spending.repeats())
			.build();
	}

	private static Protocol.TargetLimit encode(LimitNews limit) {
		return Protocol.TargetLimit.newBuilder()
			.setTarget(TargetRunForm.write(limit.target()))
			.setOver(limit.perSecond().isEmpty())
			.setPerSecond(limit.perSecond().orElse(0))
			.setAgeMillis((int) limit.ageMillis())
			.build();
	}

	private static LimitNews decode(Protocol.TargetLimit limit) {
		return new LimitNews(TargetRunForm.read(limit.getTarget()),
				limit.getOver() ? OptionalDouble.empty() : OptionalDouble.of(limit.getPerSecond()),
				Integer.toUnsignedLong(limit.getAgeMillis()));
	}

	private static WorkAtTarget decode(Protocol.WorkAtTarget work) {
		return new WorkAtTarget(TargetRunForm.read(work.getTarget()), work.getRequests(), work.getHeldTokens(),
				work.getUnreadTokens(), work.getToMove(), work.getCopying(), work.getRefused(), work.getLeaving());
	}

	private static ServiceSpending decode(Protocol.ServiceSpending spending) {
		return new ServiceSpending(spending.getService(), spending.getRequests(), spending.getRepeats());
	}

}
