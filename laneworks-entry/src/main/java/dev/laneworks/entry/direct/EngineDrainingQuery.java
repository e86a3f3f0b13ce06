package dev.laneworks.entry.direct;

import java.util.List;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.dispatch.TargetEstimates;
import dev.laneworks.core.inquiry.DrainingQuery;
import dev.laneworks.core.inquiry.DrainingQueryOutputs;
import dev.laneworks.core.inquiry.EngineAnswer;
import dev.laneworks.core.serving.ServingPlan;

/**
 * Poll of the engines for draining while the store is silent, whose results are announced
 * to the other entries. Used on the I/O thread alone.
 */
final class EngineDrainingQuery implements DrainingQueryOutputs {

	private final StoreView store;

	private final TargetEstimates estimates;

	private final EngineCommands engines;

	private final EventLoop loop;

	private final AuditSink audit;

	private final DrainingQuery query;

	EngineDrainingQuery(StoreView store, PeerEntries peers, TargetEstimates estimates, EngineCommands engines,
			EventLoop loop, AuditSink audit) {
		this.store = store;
		this.estimates = estimates;
		this.engines = engines;
		this.loop = loop;
		this.audit = audit;
		this.query = new DrainingQuery(store.follower()::isSilent, (e) -> peers.isProberFor(e.dataCentre()),
				this::engines, this, loop.timers());
		peers.onDraining(store.directory()::drainingReported);
	}

	void start(long now) {
		this.query.start(now);
	}

	private List<ListedTarget> engines() {
		TargetDirectory directory = this.store.directory();
		return directory.all().stream().filter((t) -> directory.isAvailable(t.id()) && isEngine(t)).toList();
	}

	private boolean isEngine(ListedTarget target) {
		return this.store.published()
			.plan()
			.flatMap((ServingPlan p) -> p.findService(target.service()))
			.filter((s) -> s.engine().isPresent())
			.isPresent();
	}

	@Override
	public void query(ListedTarget engine) {
		this.engines.poll(engine, (a) -> {
			this.query.handleAnswer(engine, a, this.loop.now());
			this.loop.runTimers();
		});
	}

	@Override
	public void draining(ListedTarget engine, EngineAnswer answer, long now) {
		this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, engine.id(), engine.id(),
				"reports that it is leaving in " + answer.stopsInMillis().orElse(0) + " ms"));
		this.estimates.recordAnnouncedDraining(engine);
		this.store.directory().drainingReported(engine.incarnation());
	}

	@Override
	public void connectionRefused(ListedTarget engine, long now) {
		this.estimates.recordRefusedConnection(engine);
	}

}
