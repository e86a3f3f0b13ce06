package dev.laneworks.core.host;

import java.util.List;

import dev.laneworks.core.admission.LengthModel;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.ConfigurationHolder;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.RevocationOutcome;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Manages the generations of one target: accepts requests, forwards them to the target
 * and delivers their output.
 * <p>
 * A request counts as run once {@link HostOutputs#start} was called for it; refusals
 * before that have the verdict {@code not run}. Each generation has a unique name, one
 * output log and at most one reader. All inputs carry a monotonic time in milliseconds.
 * Not thread-safe.
 *
 * @since 0.1
 */
public final class GenerationHost {

	private final HostContext context;

	private final RequestAcceptor acceptor;

	private final Revoker revoker;

	private final KeyedRequests keyedRequests;

	private final TargetOutputHandler outputHandler;

	private final Refuser refuser;

	private final SlotAllocator slots;

	private final GenerationTerminator terminator;

	private boolean ended;

	private long lastInputAt;

	/**
	 * Create a host without generations.
	 * @param target the name of the target
	 * @param incarnation the incarnation of the sidecar, unique for each process
	 * @param settings the limits and timeouts
	 * @param keyGuard the rules for keyed requests
	 * @param holder the current configuration
	 * @param lengths the model of output lengths, updated with each finished output
	 * @param outputs the operations on entries, the target and other sidecars
	 * @param audit the receiver of audit events
	 * @param now the current time in milliseconds
	 */
	public GenerationHost(String target, long incarnation, HostSettings settings, KeyGuard keyGuard,
			ConfigurationHolder holder, LengthModel lengths, HostOutputs outputs, AuditSink audit, long now) {
		this.context = new HostContext(settings, holder, outputs, new HostAudit(target, audit), new HostCounters(),
				new GenerationRegistry(holder), new Delivery(outputs), new AdmissionController(settings, lengths));
		this.refuser = new Refuser(this.context);
		this.slots = new SlotAllocator(this.context, keyGuard, this.refuser);
		this.terminator = new GenerationTerminator(this.context, this.refuser, this.slots);
		this.outputHandler = new TargetOutputHandler(this.context, lengths, this.refuser, this.slots, this.terminator);
		this.keyedRequests = new KeyedRequests(this.context, keyGuard, this.refuser, this.slots);
		this.acceptor = new RequestAcceptor(this.context, incarnation, this.refuser, this.slots, this.keyedRequests,
				this.outputHandler);
		this.revoker = new Revoker(this.context, incarnation, keyGuard, this.refuser);
		this.lastInputAt = now;
	}

	/**
	 * Handle a message from an entry.
	 * @param link the id of the link that delivered it
	 * @param message the message
	 * @param now the current time in milliseconds
	 */
	public void onMessage(long link, EntryMessage message, long now) {
		if (this.ended) {
			return;
		}
		detectPause(now);
		if (message instanceof EntryMessage.Submit submit) {
			this.acceptor.submit(link, submit, now);
		}
		else if (message instanceof EntryMessage.Attach attach) {
			this.acceptor.attach(link, attach, now);
		}
		else if (message instanceof EntryMessage.Revoke revoke) {
			this.revoker.revokeAttempt(link, revoke, now);
		}
		else if (message instanceof EntryMessage.Release release) {
			this.context.delivery()
				.find(link, release.stream())
				.ifPresent((g) -> this.terminator.release(g, release.mayResume(), now));
		}
		else if (message instanceof EntryMessage.Credit credit) {
			this.context.delivery()
				.find(link, credit.stream())
				.ifPresent((g) -> this.context.delivery().grantCredit(g, credit.creditLimit(), now));
		}
		else if (message instanceof EntryMessage.Probe) {
			this.context.outputs().send(link, new SidecarMessage.Load(load()));
		}
		else if (message instanceof EntryMessage.RevokeKey revokeKey) {
			RevocationOutcome outcome = this.revoker.revokeKey(revokeKey.key(), now);
			this.context.outputs().send(link, new SidecarMessage.KeyRevokeResult(revokeKey.key(), outcome));
		}
	}

	/**
	 * Handle the loss of a link. Its readers may reconnect over another link.
	 * @param link the id of the link
	 * @param now the current time in milliseconds
	 */
	public void onLinkLost(long link, long now) {
		detectPause(now);
		for (Generation generation : this.context.registry().all()) {
			if (generation.reader().filter((r) -> r.link() == link).isPresent()) {
				this.context.delivery().detachReader(generation, now);
			}
		}
	}

	/**
	 * Handle a chunk of output from the target.
	 * @param name the generation's name
	 * @param offset the number of chunks before it
	 * @param data the content of the chunk
	 * @param now the current time in milliseconds
	 */
	public void onTargetChunk(String name, long offset, byte[] data, long now) {
		this.context.registry().findActive(name).ifPresent((g) -> this.outputHandler.handleChunk(g, offset, data, now));
	}

	/**
	 * Handle the end of a generation at the target.
	 * @param name the generation's name
	 * @param total the number of chunks of the complete output
	 * @param reason why the generation ended
	 * @param now the current time in milliseconds
	 */
	public void onTargetEnd(String name, long total, FinishReason reason, long now) {
		this.context.registry().findActive(name).ifPresent((g) -> this.outputHandler.handleEnd(g, total, reason, now));
	}

	/**
	 * Handle the loss of a generation's output.
	 * @param name the generation's name
	 * @param loss the kind of failure
	 * @param now the current time in milliseconds
	 */
	public void onTargetLost(String name, TargetLoss loss, long now) {
		this.context.registry().findActive(name).ifPresent((g) -> this.outputHandler.handleLoss(g, loss, now));
	}

	/**
	 * Handle the target's answer to a lookup of a generation that an earlier sidecar
	 * process may have started.
	 * @param name the generation's name
	 * @param found {@code true} if the target holds the generation
	 * @param now the current time in milliseconds
	 */
	public void onLookUp(String name, boolean found, long now) {
		this.context.registry().findAsking(name).ifPresent((g) -> this.outputHandler.handleLookUp(g, found, now));
	}

	/**
	 * Handle a former home's answer to the request to revoke a key.
	 * @param home the name of the former home
	 * @param key the key
	 * @param outcome whether the key was revoked or has run there
	 * @param now the current time in milliseconds
	 */
	public void onKeyRevocationAnswer(String home, IdempotencyKey key, RevocationOutcome outcome, long now) {
		this.context.registry()
			.findAsking(key.generationName())
			.ifPresent((g) -> this.keyedRequests.handleHomeAnswer(g, home, outcome, now));
	}

	/**
	 * Start draining: reject new and queued requests and continue running generations.
	 * @param cause the reason for the audit log
	 * @param now the current time in milliseconds
	 */
	public void drain(String cause, long now) {
		if (this.acceptor.isClosed()) {
			return;
		}
		this.acceptor.close();
		this.context.audit().record(AuditKind.LEAVING, cause);
		this.refuser.refuseAllBeforeExecution(HostRefusals.draining(), now);
	}

	/**
	 * Run the periodic work: expire names, enforce timeouts, preempt and admit.
	 * @param now the current time in milliseconds
	 */
	public void tick(long now) {
		detectPause(now);
		this.context.registry().expireNames(now);
		for (Generation generation : this.context.registry().copyOfAll()) {
			tick(generation, now);
		}
		this.slots.preemptForMemory();
		this.slots.admit(now);
	}

	/**
	 * Determine whether no generation is active and no output is held for a reader that
	 * may reconnect.
	 * @param now the current time in milliseconds
	 * @return {@code true} if the process may exit
	 */
	public boolean isIdle(long now) {
		return this.context.registry()
			.all()
			.stream()
			.allMatch((g) -> g.state().isFinished() && g.reader().isEmpty()
					&& (g.isDelivered() || now - g.idleSince() >= this.context.settings().outputRetentionMillis()));
	}

	/**
	 * Stop handling messages. The caller then sends {@link SidecarMessage.Shutdown} on
	 * every link.
	 */
	public void stop() {
		this.ended = true;
	}

	/**
	 * Determine whether messages are no longer handled.
	 * @return {@code true} after {@link #stop}
	 */
	public boolean isStopped() {
		return this.ended;
	}

	/**
	 * Determine whether the target is draining.
	 * @return {@code true} after {@link #drain}
	 */
	public boolean isDraining() {
		return this.acceptor.isClosed();
	}

	/**
	 * Return the current load of the target.
	 * @return a report with running and queued requests and used memory
	 */
	public LoadReport load() {
		AdmissionController admission = this.context.admission();
		return new LoadReport(admission.runningCount(), admission.queuedCount(), admission.usedTokens(),
				this.context.settings().capacityTokens(), isDraining());
	}

	/**
	 * Return the counters of this host.
	 * @return the counters, which may be read from any thread
	 */
	public HostCounters counters() {
		return this.context.counters();
	}

	/**
	 * Return the status of the held generations for operators.
	 * @return the oldest generations, up to a fixed number
	 */
	public List<GenerationStatus> status() {
		return this.context.registry()
			.all()
			.stream()
			.limit(GenerationStatus.MAX_SHOWN)
			.map(GenerationStatus::of)
			.toList();
	}

	private void tick(Generation generation, long now) {
		switch (generation.state()) {
			case ASKING -> this.keyedRequests.refuseIfUnanswered(generation, now);
			case QUEUED -> this.terminator.endQueuedIfExpired(generation, now);
			case RUNNING, PAUSED -> {
				if (!this.terminator.endStartedIfOrphaned(generation, now)) {
					this.outputHandler.retryReattachIfDue(generation, now);
				}
			}
			case ENDED, FAILED -> this.terminator.discardIfExpired(generation, now);
		}
	}

	private void detectPause(long now) {
		long gap = now - this.lastInputAt;
		this.lastInputAt = now;
		if (gap < this.context.settings().pauseMillis()) {
			return;
		}
		this.context.counters().pauses().increment();
		this.context.audit().record(AuditKind.PAUSED, "no input for " + gap + " ms");
		this.refuser.refuseAllBeforeExecution(HostRefusals.retryElsewhere(RefusalReason.WITHDRAWN,
				"the sidecar process was paused while the request waited"), now);
	}

}
