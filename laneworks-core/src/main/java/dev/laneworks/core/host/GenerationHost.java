package dev.laneworks.core.host;

import java.util.List;

import dev.laneworks.core.admission.LengthModel;
import dev.laneworks.core.audit.AuditKind;
import dev.laneworks.core.audit.AuditSink;
import dev.laneworks.core.configuration.ConfigurationLedger;
import dev.laneworks.core.message.BarOutcome;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.FinishReason;
import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.once.KeyGuard;
import dev.laneworks.core.verdict.RefusalReason;

/**
 * Owns the generations at one target: takes requests on, hands them to the target and
 * delivers their output.
 * <p>
 * A request has run once {@link HostOutputs#start} was called for it; until then every
 * refusal says {@code not run}. Each generation has one name, one log of output and at
 * most one reader. All inputs carry the time in milliseconds, which must not fall. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class GenerationHost {

	private final HostParts parts;

	private final Arrivals arrivals;

	private final Bars bars;

	private final KeyedRequests keyed;

	private final TargetAnswers answers;

	private final Refuser refuser;

	private final Places places;

	private final Endings endings;

	private boolean ended;

	private long lastInputAt;

	/**
	 * Create a host without generations.
	 * @param target the name of the target
	 * @param incarnation the sidecar's incarnation, different for each process
	 * @param settings bounds and times
	 * @param keyGuard decides on keyed requests
	 * @param ledger the configuration in force
	 * @param lengths learns how long outputs are
	 * @param outputs what the host asks of the world
	 * @param audit takes audit events
	 * @param now the time in milliseconds
	 */
	public GenerationHost(String target, long incarnation, HostSettings settings, KeyGuard keyGuard,
			ConfigurationLedger ledger, LengthModel lengths, HostOutputs outputs, AuditSink audit, long now) {
		this.parts = new HostParts(settings, ledger, outputs, new HostAudit(target, audit), new HostCounters(),
				new HeldGenerations(ledger), new Delivery(outputs), new Admission(settings, lengths));
		this.refuser = new Refuser(this.parts);
		this.places = new Places(this.parts, keyGuard, this.refuser);
		this.endings = new Endings(this.parts, this.refuser, this.places);
		this.answers = new TargetAnswers(this.parts, lengths, this.refuser, this.places, this.endings);
		this.keyed = new KeyedRequests(this.parts, keyGuard, this.refuser, this.places);
		this.arrivals = new Arrivals(this.parts, incarnation, this.refuser, this.places, this.keyed, this.answers);
		this.bars = new Bars(this.parts, incarnation, keyGuard, this.refuser);
		this.lastInputAt = now;
	}

	/**
	 * Handle a message from an entry.
	 * @param link the link it came by
	 * @param message the message
	 * @param now the time in milliseconds
	 */
	public void onMessage(long link, EntryMessage message, long now) {
		if (this.ended) {
			return;
		}
		noticePause(now);
		if (message instanceof EntryMessage.Submit submit) {
			this.arrivals.submit(link, submit, now);
		}
		else if (message instanceof EntryMessage.Attach attach) {
			this.arrivals.attach(link, attach, now);
		}
		else if (message instanceof EntryMessage.Bar bar) {
			this.bars.barAttempt(link, bar, now);
		}
		else if (message instanceof EntryMessage.Release release) {
			this.parts.delivery()
				.find(link, release.stream())
				.ifPresent((g) -> this.endings.release(g, release.mayReturn(), now));
		}
		else if (message instanceof EntryMessage.Credit credit) {
			this.parts.delivery()
				.find(link, credit.stream())
				.ifPresent((g) -> this.parts.delivery().allow(g, credit.creditLimit(), now));
		}
		else if (message instanceof EntryMessage.Probe) {
			this.parts.outputs().send(link, new SidecarMessage.Load(load()));
		}
		else if (message instanceof EntryMessage.BarKey barKey) {
			BarOutcome outcome = this.bars.barKey(barKey.key(), now);
			this.parts.outputs().send(link, new SidecarMessage.KeyBarResult(barKey.key(), outcome));
		}
	}

	/**
	 * Handle the loss of a link: its readers may come back by another.
	 * @param link the link
	 * @param now the time in milliseconds
	 */
	public void onLinkLost(long link, long now) {
		noticePause(now);
		for (Generation generation : this.parts.held().all()) {
			if (generation.reader().filter((r) -> r.link() == link).isPresent()) {
				this.parts.delivery().lose(generation, now);
			}
		}
	}

	/**
	 * Handle a piece of output from the target.
	 * @param name the generation's name
	 * @param offset the number of pieces before it
	 * @param data the output
	 * @param now the time in milliseconds
	 */
	public void onTargetChunk(String name, long offset, byte[] data, long now) {
		this.parts.held().findUnderWay(name).ifPresent((g) -> this.answers.chunk(g, offset, data, now));
	}

	/**
	 * Handle the end of a generation at the target.
	 * @param name the generation's name
	 * @param total the number of pieces of its whole output
	 * @param reason why it ended
	 * @param now the time in milliseconds
	 */
	public void onTargetEnd(String name, long total, FinishReason reason, long now) {
		this.parts.held().findUnderWay(name).ifPresent((g) -> this.answers.end(g, total, reason, now));
	}

	/**
	 * Handle the loss of a generation's output.
	 * @param name the generation's name
	 * @param loss how it was lost
	 * @param now the time in milliseconds
	 */
	public void onTargetLost(String name, TargetLoss loss, long now) {
		this.parts.held().findUnderWay(name).ifPresent((g) -> this.answers.lost(g, loss, now));
	}

	/**
	 * Handle the target's answer about a keyed request of an earlier sidecar.
	 * @param name the generation's name
	 * @param found whether the target holds the generation
	 * @param now the time in milliseconds
	 */
	public void onLookUp(String name, boolean found, long now) {
		this.parts.held().findAsking(name).ifPresent((g) -> this.answers.lookedUp(g, found, now));
	}

	/**
	 * Handle a former home's answer about a key.
	 * @param home the name of the former home
	 * @param key the key
	 * @param outcome whether the key can still run there
	 * @param now the time in milliseconds
	 */
	public void onHomeAnswer(String home, OnceKey key, BarOutcome outcome, long now) {
		this.parts.held()
			.findAsking(key.generationName())
			.ifPresent((g) -> this.keyed.homeAnswered(g, home, outcome, now));
	}

	/**
	 * Start to leave: take no new work, send queued work back and go on with what runs.
	 * @param cause why the target leaves
	 * @param now the time in milliseconds
	 */
	public void leave(String cause, long now) {
		if (this.arrivals.isClosed()) {
			return;
		}
		this.arrivals.close();
		this.parts.audit().record(AuditKind.LEAVING, cause);
		this.refuser.refuseAllBeforeRun(HostRefusals.leaving(), now);
	}

	/**
	 * Do what is due.
	 * @param now the time in milliseconds
	 */
	public void tick(long now) {
		noticePause(now);
		this.parts.held().expireNames(now);
		for (Generation generation : this.parts.held().copyOfAll()) {
			tick(generation, now);
		}
		this.places.yieldMemory();
		this.places.admit(now);
	}

	/**
	 * Return whether nothing is under way and no output waits for a reader that may still
	 * come back.
	 * @param now the time in milliseconds
	 * @return {@code true} if the process may end
	 */
	public boolean isIdle(long now) {
		return this.parts.held()
			.all()
			.stream()
			.allMatch((g) -> g.state().isOver() && g.reader().isEmpty()
					&& (g.isDelivered() || now - g.idleSince() >= this.parts.settings().holdMillis()));
	}

	/**
	 * End for good: no message that comes after this is read.
	 * <p>
	 * To be followed by {@link SidecarMessage.Farewell} on every link.
	 */
	public void end() {
		this.ended = true;
	}

	/**
	 * Return whether no message is read any more.
	 * @return {@code true} after {@link #end}
	 */
	public boolean isEnded() {
		return this.ended;
	}

	/**
	 * Return whether the target takes no new work.
	 * @return {@code true} after {@link #leave}
	 */
	public boolean isLeaving() {
		return this.arrivals.isClosed();
	}

	/**
	 * Return the load.
	 * @return a report
	 */
	public LoadReport load() {
		Admission admission = this.parts.admission();
		return new LoadReport(admission.runningCount(), admission.queuedCount(), admission.usedTokens(),
				this.parts.settings().capacityTokens(), isLeaving());
	}

	/**
	 * Return the counters.
	 * @return the counters, readable from any thread
	 */
	public HostCounters counters() {
		return this.parts.counters();
	}

	/**
	 * Return a line for each generation held, for operators.
	 * @return at most a few hundred lines
	 */
	public List<GenerationStatus> status() {
		return this.parts.held().all().stream().limit(GenerationStatus.MOST_SHOWN).map(GenerationStatus::of).toList();
	}

	private void tick(Generation generation, long now) {
		switch (generation.state()) {
			case ASKING -> this.keyed.refuseIfUnanswered(generation, now);
			case QUEUED -> this.endings.endOverdueQueued(generation, now);
			case RUNNING, PAUSED -> {
				if (!this.endings.endOrphanedStarted(generation, now)) {
					this.answers.askAgainIfDue(generation, now);
				}
			}
			case ENDED, FAILED -> this.endings.forgetIfHeldLongEnough(generation, now);
		}
	}

	private void noticePause(long now) {
		long gap = now - this.lastInputAt;
		this.lastInputAt = now;
		if (gap < this.parts.settings().pauseMillis()) {
			return;
		}
		this.parts.counters().pauses().increment();
		this.parts.audit().record(AuditKind.PAUSED, "no input for " + gap + " ms");
		this.refuser.refuseAllBeforeRun(
				HostRefusals.tryElsewhere(RefusalReason.WITHDRAWN, "the sidecar was paused while the request waited"),
				now);
	}

}
