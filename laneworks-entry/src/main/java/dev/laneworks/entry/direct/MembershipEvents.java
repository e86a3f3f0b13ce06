package dev.laneworks.entry.direct;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.backpressure.TargetsInNeed;
import dev.laneworks.core.directory.DirectoryListener;
import dev.laneworks.core.directory.EvacuationListener;
import dev.laneworks.core.directory.LeavingCause;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.dispatch.ColdTargets;
import dev.laneworks.core.dispatch.Dispatcher;
import dev.laneworks.core.dispatch.TargetBeliefs;

/**
 * Tells the rest of the entry of targets that come and go, and of data centres that are
 * evacuated. Used on the I/O thread alone.
 */
final class MembershipEvents implements DirectoryListener, EvacuationListener {

	private final TargetBeliefs beliefs;

	private final ColdTargets cold;

	private final TargetsInNeed needs;

	private final EventLoop loop;

	private final AuditSink audit;

	private Dispatcher dispatcher;

	private FollowedStore store;

	MembershipEvents(TargetBeliefs beliefs, ColdTargets cold, TargetsInNeed needs, EventLoop loop, AuditSink audit) {
		this.beliefs = beliefs;
		this.cold = cold;
		this.needs = needs;
		this.loop = loop;
		this.audit = audit;
	}

	// Sets who hears of events, and where targets are looked up; to be called before the
	// store is followed.
	void use(Dispatcher hears, FollowedStore followed) {
		this.dispatcher = hears;
		this.store = followed;
	}

	@Override
	public void evacuated(String dataCentre) {
		long there = targetsIn(dataCentre);
		record(dataCentre, "evacuated: nothing more goes to its " + there + " targets"
				+ ((there > 0) ? "" : ", none of which is known yet"));
		this.dispatcher.evacuated(dataCentre, this.loop.now());
	}

	@Override
	public void takenBack(String dataCentre) {
		record(dataCentre, "taken back: its " + targetsIn(dataCentre) + " targets take work again");
	}

	@Override
	public void listed(ListedTarget target) {
		target.coldMillis().ifPresent((c) -> this.cold.told(target, c, this.loop.now()));
	}

	@Override
	public void joined(ListedTarget target) {
		this.beliefs.of(target).listed(target);
		this.beliefs.reached(target);
		record(target, "joined at " + target.address() + " in " + target.dataCentre());
	}

	@Override
	public void leaving(ListedTarget target, LeavingCause cause) {
		record(target, "leaving: " + cause);
		this.dispatcher.leaving(target, cause, this.loop.now());
	}

	@Override
	public void gone(ListedTarget target) {
		record(target, "gone");
		this.dispatcher.gone(target, this.loop.now());
		this.beliefs.forget(target);
		this.cold.forget(target);
		this.needs.gone(target, this.loop.now());
	}

	private long targetsIn(String dataCentre) {
		return this.store.directory().all().stream().filter((t) -> t.dataCentre().equals(dataCentre)).count();
	}

	private void record(ListedTarget target, String cause) {
		this.audit.record(AuditEvent.of(AuditKind.MEMBERSHIP, target.id(), target.id(), cause));
	}

	private void record(String dataCentre, String cause) {
		this.audit.record(AuditEvent.of(AuditKind.EVACUATION, dataCentre, "", cause));
	}

}
