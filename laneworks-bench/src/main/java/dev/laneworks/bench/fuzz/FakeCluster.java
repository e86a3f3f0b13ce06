package dev.laneworks.bench.fuzz;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import dev.laneworks.core.call.CallRequest;
import dev.laneworks.core.configuration.Intent;
import dev.laneworks.core.configuration.SpillRule;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.OperationKind;
import dev.laneworks.core.message.RevocationOutcome;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.stream.StreamPosition;

/**
 * Entries, sidecars and engines with fake links and a virtual clock, driven by a trace.
 * <p>
 * It models faults at the interfaces of the core's call coordinator and generation host,
 * but neither load nor performance.
 *
 * @since 0.1
 */
public final class FakeCluster {

	private static final int ENTRIES = 2;

	private static final int TARGETS = 3;

	private static final String MODEL = "m";

	private static final String ACCOUNT = "a";

	private static final long FIRST_TOKEN_TIMEOUT_MILLIS = 4_000;

	/** Equals the retry window in the published configuration. */
	private static final long RETRY_WINDOW_MILLIS = 10_000;

	private static final int MAX_STALE_MILLIS = 3_000;

	private static final long LINK_TIMEOUT_MILLIS = 3_000;

	private static final long RECONNECT_INTERVAL_MILLIS = 100;

	private static final long QUERY_DELAY_MILLIS = 5;

	private static final long SHUTDOWN_DELAY_MILLIS = 50;

	/** Every call has to finish within this time after the last fault. */
	private static final long COMPLETION_MILLIS = 60_000;

	private static final long CONVERGENCE_MILLIS = 18_000;

	private static final Intent INTENT = new Intent(Intent.ANY_ACCOUNT, MODEL, "", "1", 1, Optional.empty(),
			SpillRule.ANY, true);

	private final VirtualTime time = new VirtualTime();

	private final SplittableRandom random;

	private final Oracle oracle = new Oracle();

	private final FakeConfigurationService configurationService = new FakeConfigurationService(this.time);

	private final FakeEntry[] entries = new FakeEntry[ENTRIES];

	private final FakeSidecar[] sidecars = new FakeSidecar[TARGETS];

	private final FakeEngine[] engines = new FakeEngine[TARGETS];

	private final List<FakeLink> links = new ArrayList<>();

	private final Map<Integer, FakeCall> firstCallsByKey = new HashMap<>();

	private final Map<Integer, Ticket> tickets = new HashMap<>();

	private final Map<FakeCall, FakeEntry> entriesByCall = new HashMap<>();

	private long version;

	private long lastValidVersion;

	private long sequence;

	/**
	 * Create a cluster in which all processes run and have the first configuration.
	 * @param seed the seed of random delays and losses
	 */
	public FakeCluster(long seed) {
		this.random = new SplittableRandom(seed);
		publish(TARGETS);
		for (int i = 0; i < TARGETS; i++) {
			this.engines[i] = new FakeEngine(this.time, this.oracle, i);
			this.sidecars[i] = newSidecar(i);
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.entries[i] = newEntry(i);
		}
		this.time.schedule(RECONNECT_INTERVAL_MILLIS, this::reconnectAll);
		// Gives the sidecars a history of targets that covers the retry window.
		this.time.advance(40_000);
	}

	/**
	 * Play a trace, then end all faults, wait until all calls have finished and check the
	 * invariants.
	 * @param actions the inputs in the order in which they are applied
	 * @throws InvariantViolationException if an invariant does not hold during or after
	 * the trace
	 */
	public void play(List<FuzzAction> actions) {
		actions.forEach(this::apply);
		this.links.forEach(FakeLink::restore);
		this.time.advance(CONVERGENCE_MILLIS);
		checkConverged();
		this.time.advance(COMPLETION_MILLIS);
		checkAllFinished();
		this.oracle.checkAll();
	}

	/**
	 * Return the outcomes of all calls in order of submission.
	 * @return an outcome of {@link FuzzAction.Expect} for each call, followed by the
	 * cause of a refusal
	 */
	public List<String> outcomes() {
		return this.oracle.calls().stream().map((c) -> c.outcome() + ' ' + c.cause()).map(String::strip).toList();
	}

	static String targetName(int index) {
		return "t" + index;
	}

	static int targetIndex(String name) {
		return Integer.parseInt(name.substring(1));
	}

	void connect(FakeEntry entry, int index) {
		if (entry.isTerminated() || entry.hasLink(index) || isConnecting(entry, index)) {
			return;
		}
		FakeSidecar sidecar = this.sidecars[index];
		FakeLink link = new FakeLink(this.time, this.random, entry, sidecar, ++this.sequence);
		this.links.add(link);
		this.time.schedule(1 + this.random.nextInt(5), () -> {
			if (sidecar.isTerminated() || entry.isTerminated() || link.isBroken()) {
				this.links.remove(link);
				entry.run(() -> entry.connectFailed(index));
				return;
			}
			sidecar.run(() -> sidecar.linkUp(link));
			entry.run(() -> entry.linkUp(link));
		});
	}

	void revokeKeyAtHome(FakeSidecar from, String home, IdempotencyKey key, Consumer<RevocationOutcome> answer) {
		FakeSidecar to = this.sidecars[targetIndex(home)];
		this.time.schedule(QUERY_DELAY_MILLIS, () -> to.run(() -> {
			RevocationOutcome outcome = to.revokeKey(key);
			this.time.schedule(QUERY_DELAY_MILLIS, () -> answer.accept(outcome));
		}));
	}

	private void apply(FuzzAction action) {
		if (action instanceof FuzzAction.Advance advance) {
			this.time.advance(Math.max(0, advance.millis()));
		}
		else if (action instanceof FuzzAction.Submit submission) {
			submit(submission.entry(), Optional.empty(), Optional.empty(), submission.repeatable(), submission.length(),
					submission.priority());
		}
		else if (action instanceof FuzzAction.SubmitOnce submission) {
			submitOnce(submission);
		}
		else if (action instanceof FuzzAction.SubmitWithTicket submission) {
			submitWithTicket(submission);
		}
		else if (action instanceof FuzzAction.CallerDisconnect disconnection) {
			call(disconnection.call()).ifPresent(this::handleDisconnection);
		}
		else if (action instanceof FuzzAction.CallerResume resumption) {
			call(resumption.call()).ifPresent((c) -> resumeCall(c, resumption.entry()));
		}
		else if (action instanceof FuzzAction.Expect expect) {
			expect(expect);
		}
		else {
			applyFault(action);
		}
	}

	private void applyFault(FuzzAction action) {
		if (action instanceof FuzzAction.KillEntry kill) {
			killEntry(wrapIndex(kill.entry(), ENTRIES));
		}
		else if (action instanceof FuzzAction.KillSidecar kill) {
			killSidecar(wrapIndex(kill.sidecar(), TARGETS));
		}
		else if (action instanceof FuzzAction.KillEngine kill) {
			this.engines[wrapIndex(kill.engine(), TARGETS)].crash(100 + this.random.nextInt(900));
		}
		else if (action instanceof FuzzAction.PauseEntry pausing) {
			this.entries[wrapIndex(pausing.entry(), ENTRIES)].pause(pausing.millis());
		}
		else if (action instanceof FuzzAction.PauseSidecar pausing) {
			this.sidecars[wrapIndex(pausing.sidecar(), TARGETS)].pause(pausing.millis());
		}
		else if (action instanceof FuzzAction.DropLink drop) {
			linksBetween(drop.entry(), drop.sidecar()).forEach(FakeLink::breakConnection);
		}
		else if (action instanceof FuzzAction.StallLink stall) {
			linksBetween(stall.entry(), stall.sidecar()).forEach((l) -> stallLink(l, stall));
		}
		else if (action instanceof FuzzAction.StopSidecar stop) {
			stopSidecar(this.sidecars[wrapIndex(stop.sidecar(), TARGETS)]);
		}
		else if (action instanceof FuzzAction.Publish publish) {
			publish(Math.floorMod(publish.without(), TARGETS + 1));
		}
		else if (action instanceof FuzzAction.PublishInvalid) {
			this.configurationService.publish(++this.version, "{\"version\": " + this.version + ", \"tagrets\": []}");
		}
		else if (action instanceof FuzzAction.ServiceDown down) {
			this.configurationService.startOutage(down.millis());
		}
		else if (action instanceof FuzzAction.ServiceStale stale) {
			this.configurationService.startStalePeriod(Math.min(MAX_STALE_MILLIS, stale.millis()));
		}
	}

	private void submit(int entryIndex, Optional<IdempotencyKey> key, Optional<String> ticketTarget, boolean repeatable,
			int length, int priority) {
		FakeEntry entry = this.entries[wrapIndex(entryIndex, ENTRIES)];
		String requestId = "r" + this.oracle.calls().size();
		int tokens = Math.max(1, length);
		FakeCall call = new FakeCall(this.oracle.calls().size(), requestId, key, repeatable, tokens, this.time.now());
		this.oracle.recordCall(call);
		this.entriesByCall.put(call, entry);
		byte[] body = String.valueOf(tokens).getBytes(StandardCharsets.UTF_8);
		SidecarRequest sidecarRequest = new SidecarRequest(requestId, OperationKind.COMPLETION, ACCOUNT, MODEL, "POST",
				"/", body, priority, repeatable, key, 1, 100_000, FIRST_TOKEN_TIMEOUT_MILLIS);
		CallRequest request = new CallRequest(sidecarRequest, INTENT, 0, ticketTarget, true);
		entry.run(() -> entry.open(call, request));
	}

	private void submitOnce(FuzzAction.SubmitOnce submission) {
		FakeCall firstCall = this.firstCallsByKey.get(submission.key());
		if (firstCall != null && this.time.now() - firstCall.startedAt() >= RETRY_WINDOW_MILLIS) {
			return;
		}
		IdempotencyKey key = new IdempotencyKey(ACCOUNT, "k" + submission.key(), IdempotencyKey.NO_TICKET);
		submit(submission.entry(), Optional.of(key), Optional.empty(), false, submission.length(), 1);
		this.firstCallsByKey.putIfAbsent(submission.key(), this.oracle.calls().get(this.oracle.calls().size() - 1));
	}

	private void submitWithTicket(FuzzAction.SubmitWithTicket submission) {
		Ticket ticket = this.tickets.get(submission.ticket());
		if (ticket == null) {
			int target = wrapIndex(submission.ticket(), TARGETS);
			Optional<Long> incarnation = this.entries[wrapIndex(submission.entry(), ENTRIES)].incarnation(target);
			if (incarnation.isEmpty()) {
				return;
			}
			ticket = new Ticket(targetName(target),
					new IdempotencyKey(ACCOUNT, "ticket" + submission.ticket(), incarnation.get()));
			this.tickets.put(submission.ticket(), ticket);
		}
		submit(submission.entry(), Optional.of(ticket.key()), Optional.of(ticket.target()), false, submission.length(),
				1);
	}

	private void handleDisconnection(FakeCall call) {
		if (call.isFinished() || !call.isConnected()) {
			return;
		}
		call.disconnect();
		FakeEntry entry = this.entriesByCall.get(call);
		entry.run(() -> entry.callerDisconnected(call));
	}

	private void resumeCall(FakeCall call, int entryIndex) {
		Optional<StreamPosition> position = call.position();
		if (call.isComplete() || call.isConnected() || position.isEmpty()) {
			return;
		}
		call.reconnect();
		FakeEntry entry = this.entries[wrapIndex(entryIndex, ENTRIES)];
		this.entriesByCall.put(call, entry);
		SidecarRequest sidecarRequest = new SidecarRequest("back", OperationKind.COMPLETION, ACCOUNT, "", "", "",
				new byte[0], 0, false, Optional.empty(), 0, 1, 0);
		CallRequest request = new CallRequest(sidecarRequest, INTENT, 0, Optional.empty(), true);
		entry.run(() -> entry.resume(call, request, position.get()));
	}

	private void expect(FuzzAction.Expect expect) {
		FakeCall call = this.oracle.calls().get(expect.call());
		if (!Arrays.asList(expect.outcome().split("\\|")).contains(call.outcome())) {
			throw new InvariantViolationException("call " + expect.call() + " should be " + expect.outcome()
					+ " but is " + call.outcome() + ' ' + call.cause());
		}
	}

	private void killEntry(int index) {
		FakeEntry old = this.entries[index];
		old.terminate();
		this.entriesByCall.forEach((c, e) -> {
			if (e == old && !c.isFinished()) {
				c.disconnect();
			}
		});
		linksOf(old).forEach(FakeLink::breakConnection);
		this.entries[index] = newEntry(index);
	}

	private void killSidecar(int index) {
		FakeSidecar old = this.sidecars[index];
		if (old.isTerminated()) {
			return;
		}
		old.terminate();
		linksOf(old).forEach(FakeLink::breakConnection);
		this.time.schedule(200 + this.random.nextInt(1_500), () -> this.sidecars[index] = newSidecar(index));
	}

	private void stopSidecar(FakeSidecar sidecar) {
		sidecar.run(sidecar::drain);
		terminateWhenDrained(sidecar);
	}

	private void terminateWhenDrained(FakeSidecar sidecar) {
		if (sidecar.isTerminated()) {
			return;
		}
		if (sidecar.isDrained() && !sidecar.isPaused()) {
			sidecar.announceShutdown();
			this.time.schedule(SHUTDOWN_DELAY_MILLIS, () -> {
				if (!sidecar.isTerminated()) {
					killSidecar(sidecar.index());
				}
			});
			return;
		}
		this.time.schedule(RECONNECT_INTERVAL_MILLIS, () -> terminateWhenDrained(sidecar));
	}

	private void stallLink(FakeLink link, FuzzAction.StallLink stall) {
		link.stall(stall.toSidecar(), stall.toEntry());
		this.time.schedule(stall.millis(), link::restore);
		this.time.schedule(LINK_TIMEOUT_MILLIS, () -> {
			if (link.isStalled()) {
				link.breakConnection();
			}
		});
	}

	private void publish(int without) {
		this.lastValidVersion = ++this.version;
		StringBuilder document = new StringBuilder("{\"version\": ").append(this.version);
		document.append(", \"keys\": {\"retryWindow\": \"10s\", \"viewAge\": \"5s\", \"serviceStaleness\": \"3s\"}");
		document.append(", \"targets\": [");
		for (int i = 0; i < TARGETS; i++) {
			if (i != without) {
				document.append("{\"name\": \"").append(targetName(i)).append("\", \"dataCentre\": \"east\", ");
				document.append("\"address\": \"127.0.0.1:").append(1000 + i).append("\", \"serves\": [\"m\"]},");
			}
		}
		this.configurationService.publish(this.version, document.append("]}").toString());
	}

	private FakeSidecar newSidecar(int index) {
		return new FakeSidecar(this.time, this.random, this, index, ++this.sequence, this.engines[index],
				this.configurationService);
	}

	private FakeEntry newEntry(int index) {
		return new FakeEntry(this.time, this.random, this, index, this.configurationService);
	}

	private void reconnectAll() {
		this.links.removeIf((l) -> l.isBroken() && !l.entry().isOpen(l));
		for (FakeEntry entry : this.entries) {
			for (int i = 0; i < TARGETS; i++) {
				connect(entry, i);
			}
		}
		this.time.schedule(RECONNECT_INTERVAL_MILLIS + this.random.nextInt(200), this::reconnectAll);
	}

	private boolean isConnecting(FakeEntry entry, int index) {
		return this.links.stream()
			.anyMatch((l) -> l.entry() == entry && l.sidecar() == this.sidecars[index] && !l.isBroken());
	}

	private List<FakeLink> linksBetween(int entry, int sidecar) {
		FakeEntry entryProcess = this.entries[wrapIndex(entry, ENTRIES)];
		FakeSidecar sidecarProcess = this.sidecars[wrapIndex(sidecar, TARGETS)];
		return this.links.stream().filter((l) -> l.entry() == entryProcess && l.sidecar() == sidecarProcess).toList();
	}

	private List<FakeLink> linksOf(FakeProcess process) {
		return this.links.stream().filter((l) -> l.entry() == process || l.sidecar() == process).toList();
	}

	private Optional<FakeCall> call(int number) {
		List<FakeCall> calls = this.oracle.calls();
		return calls.isEmpty() ? Optional.empty() : Optional.of(calls.get(wrapIndex(number, calls.size())));
	}

	private void checkConverged() {
		if (this.lastValidVersion != this.version) {
			return;
		}
		for (FakeEntry entry : this.entries) {
			requireVersion("entry " + entry.index(), entry.version());
		}
		for (FakeSidecar sidecar : this.sidecars) {
			if (!sidecar.isTerminated()) {
				requireVersion("sidecar " + sidecar.index(), sidecar.version());
			}
		}
	}

	private void requireVersion(String processName, long actual) {
		if (actual != this.version) {
			throw new InvariantViolationException(processName + " has version " + actual + " " + CONVERGENCE_MILLIS
					+ " ms after version " + this.version + " and the end of all faults");
		}
	}

	private void checkAllFinished() {
		for (FakeCall call : this.oracle.calls()) {
			if (call.isConnected() && !call.isFinished()) {
				throw new InvariantViolationException("call " + call.number() + " did not receive a final answer");
			}
		}
	}

	private static int wrapIndex(int value, int count) {
		return Math.floorMod(value, count);
	}

	private record Ticket(String target, IdempotencyKey key) {

	}

}
