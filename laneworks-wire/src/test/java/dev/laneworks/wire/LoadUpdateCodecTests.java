package dev.laneworks.wire;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

import dev.laneworks.core.directory.TargetIncarnation;
import dev.laneworks.core.gossip.AccountUsage;
import dev.laneworks.core.gossip.BackpressureUpdate;
import dev.laneworks.core.gossip.LoadUpdate;
import dev.laneworks.core.gossip.RateLimitUpdate;
import dev.laneworks.core.gossip.RetryBudgetUsage;
import dev.laneworks.core.gossip.ServiceDemand;
import dev.laneworks.core.gossip.WorkAtTarget;
import dev.laneworks.core.speed.SpeedReport;
import dev.laneworks.wire.proto.Protocol;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link LoadUpdateCodec}.
 */
class LoadUpdateCodecTests {

	@Test
	void decodesWhatWasEncoded() {
		TargetIncarnation incarnation = TargetIncarnation.of("t", 1_700_000_000_000L);
		LoadUpdate update = new LoadUpdate("e", "z", 7, 3, true, true, 1_000,
				List.of(new WorkAtTarget(incarnation, 1, 2, 3, 4, true, 5, true),
						new WorkAtTarget(TargetIncarnation.of("u"), 1, 2, 3, 4, true, 5, true,
								Optional.of(new SpeedReport(2.5, 40, 10.5, 300)))),
				List.of(new RetryBudgetUsage("s", 6, 7)),
				new BackpressureUpdate(
						List.of(new RateLimitUpdate(incarnation, OptionalDouble.of(2.7), 40),
								new RateLimitUpdate(TargetIncarnation.of("u"), OptionalDouble.empty(), 0),
								new RateLimitUpdate(TargetIncarnation.of("v"), OptionalDouble.of(0), 5)),
						List.of(incarnation, TargetIncarnation.of("w"))),
				List.of(new ServiceDemand("s", 8, 9, 10, 11, List.of(new AccountUsage("a", 12, 13)))),
				List.of("10.0.0.1:7200"));
		assertThat(LoadUpdateCodec.decode(LoadUpdateCodec.encode(update))).isEqualTo(update);
		assertThat(LoadUpdateCodec.encode(update).getWork(0).hasSpeed()).isFalse();
	}

	// Guards against a false report that cancels those of other entries in their sums.
	@Test
	void takesOverflowingFiguresOfDemandAsZero() {
		Protocol.EntryNews update = Protocol.EntryNews.newBuilder()
			.addDemand(Protocol.ServiceDemand.newBuilder()
				.setService("s")
				.setQueuedRequests(-1)
				.setQueuedTokens(-1)
				.addAccounts(Protocol.AccountUsage.newBuilder()
					.setAccount("a")
					.setUsedTokens(Long.MIN_VALUE)
					.setQueuedTokens(Long.MAX_VALUE)))
			.build();
		assertThat(LoadUpdateCodec.decode(update).demand())
			.containsExactly(new ServiceDemand("s", 0, 0, 0, 0, List.of(new AccountUsage("a", 0, Long.MAX_VALUE))));
	}

}
