package dev.laneworks.core.call;

import java.util.Optional;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.message.Work;
import dev.laneworks.core.routing.Route;
import dev.laneworks.core.routing.RouteRequest;
import dev.laneworks.core.routing.TargetSelector;

/**
 * Makes attempts: sends requests to targets, bars them there, and goes back to
 * generations.
 */
final class Attempts {

	private final CallParts parts;

	private final TargetSelector selector;

	private final FixedTargets fixedTargets;

	private final CallEnd end;

	Attempts(CallParts parts, TargetSelector selector, FixedTargets fixedTargets, CallEnd end) {
		this.parts = parts;
		this.selector = selector;
		this.fixedTargets = fixedTargets;
		this.end = end;
	}

	// Chooses a target and sends the request there as soon as there is a link.
	void route(Call call, long now) {
		Optional<Route> route = call.hasFixedTarget() ? this.fixedTargets.find(call)
				: this.selector.select(new RouteRequest(call.work().model(), call.request().intent(),
						call.request().prefixHash(), call.excluded()), now);
		if (route.isEmpty()) {
			this.end.refuse(call, CallRefusals.noTarget());
			return;
		}
		String target = route.get().target().name();
		call.routeTo(target, route.get().reason());
		this.parts.audit()
			.record(new AuditEvent(AuditKind.ROUTED, call.work().requestId(), call.work().account(), target,
					route.get().reason()));
		if (this.parts.sidecars().isUp(target)) {
			submit(call, now);
			return;
		}
		call.enter(CallPhase.CONNECTING,
				Math.min(now + this.parts.settings().connectMillis(), call.firstOutputDeadline()));
		this.parts.outputs().connect(target);
	}

	// Sends the request to the call's target, whose link is up.
	void submit(Call call, long now) {
		long patience = call.firstOutputDeadline() - now;
		if (patience <= 0) {
			this.end.refuse(call, CallRefusals.waitTooLong());
			return;
		}
		StreamId stream = call.startAttempt(this.parts.sidecars().incarnation(call.target()).orElseThrow());
		Work work = call.work().withPatience(patience);
		call.setCreditLimit(this.parts.settings().window());
		call.enter(CallPhase.SUBMITTED, now + this.parts.settings().dispatchMillis());
		this.parts.targets().sent(call);
		this.parts.outputs().send(call.target(), new EntryMessage.Submit(stream, work, call.creditLimit()));
	}

	// Keeps an attempt that was not heard of from running.
	void bar(Call call, long now) {
		call.enter(CallPhase.BARRING, now + this.parts.settings().barMillis());
		sendBar(call);
	}

	void sendBar(Call call) {
		if (isLinkMissing(call)) {
			return;
		}
		this.parts.outputs()
			.send(call.target(),
					new EntryMessage.Bar(call.stream(), call.attemptName(), call.generation(), call.incarnation()));
	}

	// Goes back to the call's generation.
	void reattach(Call call, long now) {
		this.parts.counters().reattached().increment();
		call.enter(CallPhase.REATTACHING, now + this.parts.settings().reattachMillis());
		sendAttach(call);
	}

	void sendAttach(Call call) {
		if (isLinkMissing(call)) {
			return;
		}
		call.setCreditLimit(call.readOffset() + this.parts.settings().window());
		this.parts.outputs()
			.send(call.target(), new EntryMessage.Attach(call.nextStream(), call.generation(), call.incarnation(),
					call.nextOffset(), call.creditLimit()));
	}

	// Asks for the link to the call's target if it is down.
	private boolean isLinkMissing(Call call) {
		boolean isMissing = !this.parts.sidecars().isUp(call.target());
		if (isMissing) {
			this.parts.outputs().connect(call.target());
		}
		return isMissing;
	}

}
