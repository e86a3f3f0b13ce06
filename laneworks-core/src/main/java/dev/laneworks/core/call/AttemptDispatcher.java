package dev.laneworks.core.call;

import java.util.Optional;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.routing.Route;
import dev.laneworks.core.routing.RouteRequest;
import dev.laneworks.core.routing.TargetSelector;

/**
 * Sends a call's attempts to sidecars: submits them, revokes them and reattaches to their
 * generations.
 */
final class AttemptDispatcher {

	private final CallContext context;

	private final TargetSelector selector;

	private final FixedTargets fixedTargets;

	private final CallTerminator terminator;

	AttemptDispatcher(CallContext context, TargetSelector selector, FixedTargets fixedTargets,
			CallTerminator terminator) {
		this.context = context;
		this.selector = selector;
		this.fixedTargets = fixedTargets;
		this.terminator = terminator;
	}

	// Selects a target and submits the request once the link to it is up.
	void route(Call call, long now) {
		Optional<Route> route = call.hasFixedTarget() ? this.fixedTargets.find(call)
				: this.selector.select(new RouteRequest(call.work().model(), call.request().intent(),
						call.request().prefixHash(), call.excludedTargets()), now);
		if (route.isEmpty()) {
			this.terminator.refuse(call, CallRefusals.noTarget());
			return;
		}
		String target = route.get().target().name();
		call.setTarget(target, route.get().reason());
		this.context.audit()
			.record(new AuditEvent(AuditKind.ROUTED, call.work().requestId(), call.work().account(), target,
					route.get().reason()));
		if (this.context.sidecars().isUp(target)) {
			submit(call, now);
			return;
		}
		call.enter(CallPhase.CONNECTING,
				Math.min(now + this.context.settings().connectMillis(), call.firstOutputDeadline()));
		this.context.outputs().connect(target);
	}

	// Submits the request to the call's target, whose link must be up.
	void submit(Call call, long now) {
		long remainingMillis = call.firstOutputDeadline() - now;
		if (remainingMillis <= 0) {
			this.terminator.refuse(call, CallRefusals.waitTooLong());
			return;
		}
		StreamId stream = call.startAttempt(this.context.sidecars().incarnation(call.target()).orElseThrow());
		SidecarRequest request = call.work().withCallerTimeout(remainingMillis);
		call.setCreditLimit(this.context.settings().window());
		call.enter(CallPhase.SUBMITTED, now + this.context.settings().dispatchMillis());
		this.context.targets().markSent(call);
		this.context.outputs().send(call.target(), new EntryMessage.Submit(stream, request, call.creditLimit()));
	}

	// Prevents an unanswered attempt from being executed later.
	void revoke(Call call, long now) {
		call.enter(CallPhase.REVOKING, now + this.context.settings().revokeMillis());
		sendRevocation(call);
	}

	void sendRevocation(Call call) {
		if (isLinkMissing(call)) {
			return;
		}
		this.context.outputs()
			.send(call.target(),
					new EntryMessage.Revoke(call.stream(), call.attemptName(), call.generation(), call.incarnation()));
	}

	// Requests the rest of the output of the call's generation.
	void reattach(Call call, long now) {
		this.context.counters().reattached().increment();
		call.enter(CallPhase.REATTACHING, now + this.context.settings().reattachMillis());
		sendAttach(call);
	}

	void sendAttach(Call call) {
		if (isLinkMissing(call)) {
			return;
		}
		call.setCreditLimit(call.readOffset() + this.context.settings().window());
		this.context.outputs()
			.send(call.target(), new EntryMessage.Attach(call.nextStream(), call.generation(), call.incarnation(),
					call.nextOffset(), call.creditLimit()));
	}

	// Requests a connection to the call's target if the link is down.
	private boolean isLinkMissing(Call call) {
		boolean linkMissing = !this.context.sidecars().isUp(call.target());
		if (linkMissing) {
			this.context.outputs().connect(call.target());
		}
		return linkMissing;
	}

}
