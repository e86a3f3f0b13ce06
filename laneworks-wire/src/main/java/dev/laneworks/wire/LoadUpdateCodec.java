package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.BackpressureUpdate;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.gossip.RateLimitUpdate;
import dev.laneworks.core.gossip.RetryBudgetUsage;
import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.speed.SpeedReport;
import dev.laneworks.wire.proto.Protocol;

/**
 * Encodes an entry's load updates for the wire and decodes them.
 */
final class LoadUpdateCodec {

	private LoadUpdateCodec() {
	}

	static Protocol.EntryNews encode(LoadUpdate update) {
		Protocol.EntryNews.Builder builder = Protocol.EntryNews.newBuilder()
			.setInstance(update.instance())
			.setIncarnation(update.incarnation())
			.setSequence(update.sequence())
			.setEnding(update.shuttingDown())
			.setDataCentre(update.dataCentre())
			.setPartial(update.partial())
			.setAgainMillis((int) update.nextWithinMillis())
			.addAllPeers(update.peers());
		update.work().forEach((w) -> builder.addWork(encode(w)));
		update.budgetUsage().forEach((u) -> builder.addSpending(encode(u)));
		update.demand().forEach((d) -> builder.addDemand(encode(d)));
		update.signals().limits().forEach((l) -> builder.addLimits(encode(l)));
		update.signals().draining().forEach((t) -> builder.addLeaving(TargetIncarnationFormat.format(t)));
		return builder.build();
	}

	static LoadUpdate decode(Protocol.EntryNews update) {
		List<WorkAtTarget> work = update.getWorkList().stream().map(LoadUpdateCodec::decode).toList();
		List<RetryBudgetUsage> usage = update.getSpendingList().stream().map(LoadUpdateCodec::decode).toList();
		BackpressureUpdate signals = new BackpressureUpdate(
				update.getLimitsList().stream().map(LoadUpdateCodec::decode).toList(),
				update.getLeavingList().stream().map(TargetIncarnationFormat::parse).toList());
		return new LoadUpdate(update.getInstance(), update.getDataCentre(), update.getIncarnation(),
				update.getSequence(), update.getEnding(), update.getPartial(), update.getAgainMillis(), work, usage,
				signals, update.getDemandList().stream().map(LoadUpdateCodec::decode).toList(), update.getPeersList());
	}

	private static Protocol.WorkAtTarget encode(WorkAtTarget work) {
		Protocol.WorkAtTarget.Builder builder = Protocol.WorkAtTarget.newBuilder()
			.setTarget(TargetIncarnationFormat.format(work.target()))
			.setRequests(work.requests())
			.setHeldTokens(work.reservedTokens())
			.setUnreadTokens(work.pendingPromptTokens())
			.setToMove(work.toMove())
			.setCopying(work.copying())
			.setRefused(work.refused())
			.setLeaving(work.draining());
		work.speed().ifPresent((s) -> builder.setSpeed(encode(s)));
		return builder.build();
	}

	private static Protocol.SpeedReport encode(SpeedReport speed) {
		return Protocol.SpeedReport.newBuilder()
			.setSlowness((float) speed.slowness())
			.setAgeMillis(millis(speed.ageMillis()))
			.setMillisPerToken((float) speed.millisPerToken())
			.setIntervalAgeMillis(millis(speed.intervalAgeMillis()))
			.build();
	}

	private static int millis(long age) {
		return (int) Math.min(Integer.MAX_VALUE, age);
	}

	private static SpeedReport decode(Protocol.SpeedReport speed) {
		return new SpeedReport(speed.getSlowness(), Integer.toUnsignedLong(speed.getAgeMillis()),
				speed.getMillisPerToken(), Integer.toUnsignedLong(speed.getIntervalAgeMillis()));
	}

	private static Protocol.ServiceSpending encode(RetryBudgetUsage usage) {
		return Protocol.ServiceSpending.newBuilder()
			.setService(usage.service())
			.setRequests(usage.requests())
			.setRepeats(usage.retries())
			.build();
	}

	private static Protocol.TargetLimit encode(RateLimitUpdate limit) {
		return Protocol.TargetLimit.newBuilder()
			.setTarget(TargetIncarnationFormat.format(limit.target()))
			.setOver(limit.perSecond().isEmpty())
			.setPerSecond(limit.perSecond().orElse(0))
			.setAgeMillis((int) limit.ageMillis())
			.build();
	}

	private static RateLimitUpdate decode(Protocol.TargetLimit limit) {
		return new RateLimitUpdate(TargetIncarnationFormat.parse(limit.getTarget()),
				limit.getOver() ? OptionalDouble.empty() : OptionalDouble.of(limit.getPerSecond()),
				Integer.toUnsignedLong(limit.getAgeMillis()));
	}

	private static WorkAtTarget decode(Protocol.WorkAtTarget work) {
		return new WorkAtTarget(TargetIncarnationFormat.parse(work.getTarget()), work.getRequests(),
				work.getHeldTokens(), work.getUnreadTokens(), work.getToMove(), work.getCopying(), work.getRefused(),
				work.getLeaving(), work.hasSpeed() ? Optional.of(decode(work.getSpeed())) : Optional.empty());
	}

	private static Protocol.ServiceDemand encode(ServiceDemand demand) {
		Protocol.ServiceDemand.Builder builder = Protocol.ServiceDemand.newBuilder()
			.setService(demand.service())
			.setQueuedRequests(demand.queuedRequests())
			.setQueuedTokens(demand.queuedTokens())
			.setReturningRequests(demand.returningRequests())
			.setReturningTokens(demand.returningTokens());
		demand.accounts()
			.forEach((a) -> builder.addAccounts(Protocol.AccountUsage.newBuilder()
				.setAccount(a.account())
				.setUsedTokens(a.usedTokens())
				.setQueuedTokens(a.queuedTokens())));
		return builder.build();
	}

	private static ServiceDemand decode(Protocol.ServiceDemand demand) {
		return new ServiceDemand(demand.getService(), nonNegative(demand.getQueuedRequests()),
				nonNegative(demand.getQueuedTokens()), nonNegative(demand.getReturningRequests()),
				nonNegative(demand.getReturningTokens()),
				demand.getAccountsList()
					.stream()
					.map((a) -> new AccountUsage(a.getAccount(), nonNegative(a.getUsedTokens()),
							nonNegative(a.getQueuedTokens())))
					.toList());
	}

	// An unsigned figure that overflows would be subtracted from what other entries
	// report.
	private static long nonNegative(long figure) {
		return Math.max(0, figure);
	}

	private static int nonNegative(int figure) {
		return Math.max(0, figure);
	}

	private static RetryBudgetUsage decode(Protocol.ServiceSpending spending) {
		return new RetryBudgetUsage(spending.getService(), spending.getRequests(), spending.getRepeats());
	}

}
