package dev.laneworks.core.dispatch;

import java.util.Optional;
import java.util.Set;

import dev.laneworks.core.audit.AuditEvent;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.directory.ListedTarget;
import dev.laneworks.core.directory.TargetDirectory;
import dev.laneworks.core.dispatch.DirectCall.Attempt;
import dev.laneworks.core.serving.EngineSpec;

/**
 * Chooses targets for attempts, sends them off and keeps count of what they hold.
 */
final class AttemptSender {

	/**
	 * The tokens from which a generation is worth a running copy; a shorter one ends
	 * within any notice.
	 */
	private static final long LONG_TOKENS = 200;

	/**
	 * How full the memory of an engine may be for a running copy to go there; copies must
	 * leave room for generations.
	 */
	private static final double BACKUP_FULLNESS = 0.6;

	private final TargetDirectory directory;

	private final TargetBeliefs beliefs;

	private final TargetChooser chooser;

	private final DispatchOutputs outputs;

	private final AuditSink audit;

	AttemptSender(TargetDirectory directory, TargetBeliefs beliefs, TargetChooser chooser, DispatchOutputs outputs,
			AuditSink audit) {
		this.directory = directory;
		this.beliefs = beliefs;
		this.chooser = chooser;
		this.outputs = outputs;
		this.audit = audit;
	}

	Optional<ListedTarget> choose(DirectRequest request, Optional<EngineSpec> engine, Set<String> tried, long now) {
		if (engine.isPresent() && request.work().isPresent()) {
			return this.chooser.chooseEngine(request.service(), engine.get(), request.work().get(), tried, now);
		}
		return this.chooser.choosePlain(request.service(), tried, now);
	}

	boolean hasUntried(DirectCall call, ListedTarget current) {
		return this.directory.serving(call.request().service())
			.stream()
			.anyMatch((t) -> !t.id().equals(current.id()) && !call.tried().contains(t.id()));
	}

	/**
	 * Send a call's request to a target; whether the attempt is the call's current one or
	 * its successor is the caller's to say before the target can answer.
	 * @param call the call
	 * @param target the target
	 * @param engine what the service's engines can do
	 * @param resume where the generation goes on from
	 * @param now the time in milliseconds
	 * @return the attempt
	 */
	Attempt send(DirectCall call, ListedTarget target, Optional<EngineSpec> engine, Optional<ResumePoint> resume,
			long now) {
		long tokens = call.request().work().map(EngineWork::meanTokens).orElse(0L);
		Optional<ListedTarget> backup = engine.flatMap((e) -> chooseBackup(call, target, e, now));
		Attempt attempt = call.begin(target, resume, tokens, backup);
		TargetBelief belief = this.beliefs.of(target);
		this.audit.record(new AuditEvent(AuditKind.ROUTED, call.request().id(), call.request().account(), target.id(),
				"attempt " + attempt.number() + ", own requests there " + belief.inFlight() + ", load "
						+ Math.round(belief.load(now)) + ", directory of " + this.directory.size()
						+ backup.map((b) -> ", copy grows at " + b.id()).orElse("")));
		belief.began(tokens);
		backup.ifPresent((b) -> this.beliefs.of(b).began(tokens));
		this.outputs.send(call.number(), attempt.number(), target, new SendOrder(call.request().account(),
				call.request().route().priority(), resume, backup.map(ListedTarget::address)));
		return attempt;
	}

	/**
	 * Let go of what an attempt holds.
	 * @param call the call
	 * @param attempt the attempt
	 */
	void end(DirectCall call, Attempt attempt) {
		this.beliefs.of(attempt.target()).ended(attempt.reservedTokens());
		attempt.backup().ifPresent((b) -> this.beliefs.of(b).ended(attempt.reservedTokens()));
		call.end(attempt);
	}

	/**
	 * Close an attempt's connection and let go of what it holds.
	 * @param call the call
	 * @param attempt the attempt
	 */
	void abandon(DirectCall call, Attempt attempt) {
		this.outputs.abandon(call.number(), attempt.number());
		end(call, attempt);
	}

	private Optional<ListedTarget> chooseBackup(DirectCall call, ListedTarget target, EngineSpec engine, long now) {
		Optional<EngineWork> work = call.request().work();
		if (!engine.backups() || work.isEmpty() || work.get().maxTokens() < LONG_TOKENS) {
			return Optional.empty();
		}
		long tokens = work.get().meanTokens();
		return this.chooser.chooseDestination(target, engine, tokens, Set.of(), now)
			.filter((t) -> this.chooser.fullness(t, engine, now)
					+ (double) tokens / engine.memoryTokens() <= BACKUP_FULLNESS);
	}

}
