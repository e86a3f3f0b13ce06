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
import dev.laneworks.core.message.BarOutcome;
import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.message.Work;
import dev.laneworks.core.message.WorkKind;
import dev.laneworks.core.stream.StreamPosition;

/**
 * A few entries, sidecars and engines over fake links and one virtual time, played by a
 * trace.
 * <p>
 * It is no simulator of a cluster: it models no load and no performance, only the
 * interfaces of the core's two state machines, as hostile as the brief says they are.
 *
 * @since 0.1
 */
public final class World {

	private static final int ENTRIES = 2;

	private static final int TARGETS = 3;

	private static final String MODEL = "m";

	private static final String ACCOUNT = "a";

	private static final long PATIENCE_MILLIS = 4_000;

	/** The retry window of the published configuration, in milliseconds. */
	private static final long RETRY_WINDOW_MILLIS = 10_000;

	private static final int STALE_LIMIT_MILLIS = 3_000;

	private static final long SILENCE_MILLIS = 3_000;

	private static final long RECONNECT_MILLIS = 100;

	private static final long ASK_WAY_MILLIS = 5;

	private static final long FLUSH_MILLIS = 50;

	/** After this time without faults nothing may be under way any more. */
	private static final long SETTLE_MILLIS = 60_000;

	private static final long CONVERGE_MILLIS = 18_000;

	private static final Intent INTENT = new Intent(Intent.ANY_ACCOUNT, MODEL, "", "1", 1, List.of(), SpillRule.ANY,
			true);

	private final VirtualTime time = new VirtualTime();

	private final SplittableRandom random;

	private final Oracle oracle = new Oracle();

	private final FakePlatform platform = new FakePlatform(this.time);

	private final FakeEntry[] entries = new FakeEntry[ENTRIES];

	private final FakeSidecar[] sidecars = new FakeSidecar[TARGETS];

	private final FakeEngine[] engines = new FakeEngine[TARGETS];

	private final List<FakeLink> links = new ArrayList<>();

	private final Map<Integer, FakeCall> firstTries = new HashMap<>();

	private final Map<Integer, Ticket> tickets = new HashMap<>();

	private final Map<FakeCall, FakeEntry> readThrough = new HashMap<>();

	private long version;

	private long goodVersion;

	private long count;

	/**
	 * Create a world in which all processes are up and hold the first configuration.
	 * @param seed decides delays and losses
	 */
	public World(long seed) {
		this.random = new SplittableRandom(seed);
		publish(TARGETS);
		for (int i = 0; i < TARGETS; i++) {
			this.engines[i] = new FakeEngine(this.time, this.oracle, i);
			this.sidecars[i] = newSidecar(i);
		}
		for (int i = 0; i < ENTRIES; i++) {
			this.entries[i] = newEntry(i);
		}
		this.time.after(RECONNECT_MILLIS, this::reconnectAll);
		// Long enough that the sidecars remember the whole retry window.
		this.time.advance(40_000);
	}

	/**
	 * Play a trace to its end, then mend all faults, let everything settle and check what
	 * must hold by then.
	 * @param actions the inputs
	 * @throws PromiseBrokenException if a promise was broken on the way or at the end
	 */
	public void play(List<FuzzAction> actions) {
		actions.forEach(this::apply);
		this.links.forEach(FakeLink::mend);
		this.time.advance(CONVERGE_MILLIS);
		checkConverged();
		this.time.advance(SETTLE_MILLIS);
		checkSettled();
		this.oracle.checkAll();
	}

	/**
	 * Return how each call ended, in the order in which they were made.
	 * @return words as {@link FuzzAction.Expect} uses them
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
		if (entry.isDead() || entry.hasLink(index) || isConnecting(entry, index)) {
			return;
		}
		FakeSidecar sidecar = this.sidecars[index];
		FakeLink link = new FakeLink(this.time, this.random, entry, sidecar, ++this.count);
		this.links.add(link);
		this.time.after(1 + this.random.nextInt(5), () -> {
			if (sidecar.isDead() || entry.isDead() || link.isBroken()) {
				this.links.remove(link);
				entry.run(() -> entry.connectFailed(index));
				return;
			}
			sidecar.run(() -> sidecar.linkUp(link));
			entry.run(() -> entry.linkUp(link));
		});
	}

	void askHome(FakeSidecar from, String home, OnceKey key, Consumer<BarOutcome> answer) {
		FakeSidecar to = this.sidecars[targetIndex(home)];
		this.time.after(ASK_WAY_MILLIS, () -> to.run(() -> {
			BarOutcome outcome = to.askAboutKey(key);
			this.time.after(ASK_WAY_MILLIS, () -> answer.accept(outcome));
		}));
	}

	private void apply(FuzzAction action) {
		if (action instanceof FuzzAction.Advance advance) {
			this.time.advance(Math.max(0, advance.millis()));
		}
		else if (action instanceof FuzzAction.Ask ask) {
			ask(ask.entry(), Optional.empty(), Optional.empty(), ask.repeatable(), ask.length(), ask.priority());
		}
		else if (action instanceof FuzzAction.AskOnce ask) {
			askOnce(ask);
		}
		else if (action instanceof FuzzAction.AskWithTicket ask) {
			askWithTicket(ask);
		}
		else if (action instanceof FuzzAction.Leave leave) {
			call(leave.call()).ifPresent(this::callerLeaves);
		}
		else if (action instanceof FuzzAction.ComeBack back) {
			call(back.call()).ifPresent((c) -> comeBack(c, back.entry()));
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
			killEntry(index(kill.entry(), ENTRIES));
		}
		else if (action instanceof FuzzAction.KillSidecar kill) {
			killSidecar(index(kill.sidecar(), TARGETS));
		}
		else if (action instanceof FuzzAction.KillEngine kill) {
			this.engines[index(kill.engine(), TARGETS)].die(100 + this.random.nextInt(900));
		}
		else if (action instanceof FuzzAction.FreezeEntry freeze) {
			this.entries[index(freeze.entry(), ENTRIES)].pause(freeze.millis());
		}
		else if (action instanceof FuzzAction.FreezeSidecar freeze) {
			this.sidecars[index(freeze.sidecar(), TARGETS)].pause(freeze.millis());
		}
		else if (action instanceof FuzzAction.DropLink drop) {
			linksBetween(drop.entry(), drop.sidecar()).forEach(FakeLink::breakOff);
		}
		else if (action instanceof FuzzAction.CutLink cut) {
			linksBetween(cut.entry(), cut.sidecar()).forEach((l) -> cut(l, cut));
		}
		else if (action instanceof FuzzAction.StopSidecar stop) {
			stopSidecar(this.sidecars[index(stop.sidecar(), TARGETS)]);
		}
		else if (action instanceof FuzzAction.Publish publish) {
			publish(Math.floorMod(publish.without(), TARGETS + 1));
		}
		else if (action instanceof FuzzAction.PublishBad) {
			this.platform.publish(++this.version, "{\"version\": " + this.version + ", \"tagrets\": []}");
		}
		else if (action instanceof FuzzAction.ServiceDown down) {
			this.platform.goDown(down.millis());
		}
		else if (action instanceof FuzzAction.ServiceStale stale) {
			this.platform.goStale(Math.min(STALE_LIMIT_MILLIS, stale.millis()));
		}
	}

	private void ask(int entryIndex, Optional<OnceKey> key, Optional<String> ticketTarget, boolean repeatable,
			int length, int priority) {
		FakeEntry entry = this.entries[index(entryIndex, ENTRIES)];
		String requestId = "r" + this.oracle.calls().size();
		int tokens = Math.max(1, length);
		FakeCall call = new FakeCall(this.oracle.calls().size(), requestId, key, repeatable, tokens, this.time.now());
		this.oracle.opened(call);
		this.readThrough.put(call, entry);
		byte[] body = String.valueOf(tokens).getBytes(StandardCharsets.UTF_8);
		Work work = new Work(requestId, WorkKind.COMPLETION, ACCOUNT, MODEL, "POST", "/", body, priority, repeatable,
				key, 1, 100_000, PATIENCE_MILLIS);
		CallRequest request = new CallRequest(work, INTENT, 0, ticketTarget, true);
		entry.run(() -> entry.open(call, request));
	}

	private void askOnce(FuzzAction.AskOnce ask) {
		FakeCall first = this.firstTries.get(ask.key());
		if (first != null && this.time.now() - first.startedAt() >= RETRY_WINDOW_MILLIS) {
			return;
		}
		OnceKey key = new OnceKey(ACCOUNT, "k" + ask.key(), OnceKey.NO_TICKET);
		ask(ask.entry(), Optional.of(key), Optional.empty(), false, ask.length(), 1);
		this.firstTries.putIfAbsent(ask.key(), this.oracle.calls().get(this.oracle.calls().size() - 1));
	}

	private void askWithTicket(FuzzAction.AskWithTicket ask) {
		Ticket ticket = this.tickets.get(ask.ticket());
		if (ticket == null) {
			int target = index(ask.ticket(), TARGETS);
			Optional<Long> incarnation = this.entries[index(ask.entry(), ENTRIES)].incarnation(target);
			if (incarnation.isEmpty()) {
				return;
			}
			ticket = new Ticket(targetName(target), new OnceKey(ACCOUNT, "ticket" + ask.ticket(), incarnation.get()));
			this.tickets.put(ask.ticket(), ticket);
		}
		ask(ask.entry(), Optional.of(ticket.key()), Optional.of(ticket.target()), false, ask.length(), 1);
	}

	private void callerLeaves(FakeCall call) {
		if (call.isOver() || !call.isConnected()) {
			return;
		}
		call.disconnect();
		FakeEntry entry = this.readThrough.get(call);
		entry.run(() -> entry.callerLeft(call));
	}

	private void comeBack(FakeCall call, int entryIndex) {
		Optional<StreamPosition> position = call.position();
		if (call.isWhole() || call.isConnected() || position.isEmpty()) {
			return;
		}
		call.reconnect();
		FakeEntry entry = this.entries[index(entryIndex, ENTRIES)];
		this.readThrough.put(call, entry);
		Work work = new Work("back", WorkKind.COMPLETION, ACCOUNT, "", "", "", new byte[0], 0, false, Optional.empty(),
				0, 1, 0);
		CallRequest request = new CallRequest(work, INTENT, 0, Optional.empty(), true);
		entry.run(() -> entry.resume(call, request, position.get()));
	}

	private void expect(FuzzAction.Expect expect) {
		FakeCall call = this.oracle.calls().get(expect.call());
		if (!Arrays.asList(expect.outcome().split("\\|")).contains(call.outcome())) {
			throw new PromiseBrokenException("call " + expect.call() + " should be " + expect.outcome() + " but is "
					+ call.outcome() + ' ' + call.cause());
		}
	}

	private void killEntry(int index) {
		FakeEntry old = this.entries[index];
		old.die();
		this.readThrough.forEach((c, e) -> {
			if (e == old && !c.isOver()) {
				c.disconnect();
			}
		});
		linksOf(old).forEach(FakeLink::breakOff);
		this.entries[index] = newEntry(index);
	}

	private void killSidecar(int index) {
		FakeSidecar old = this.sidecars[index];
		if (old.isDead()) {
			return;
		}
		old.die();
		linksOf(old).forEach(FakeLink::breakOff);
		this.time.after(200 + this.random.nextInt(1_500), () -> this.sidecars[index] = newSidecar(index));
	}

	private void stopSidecar(FakeSidecar sidecar) {
		sidecar.run(sidecar::leave);
		endWhenIdle(sidecar);
	}

	private void endWhenIdle(FakeSidecar sidecar) {
		if (sidecar.isDead()) {
			return;
		}
		if (sidecar.isReadyToEnd() && !sidecar.isPaused()) {
			sidecar.farewell();
			this.time.after(FLUSH_MILLIS, () -> {
				if (!sidecar.isDead()) {
					killSidecar(sidecar.index());
				}
			});
			return;
		}
		this.time.after(RECONNECT_MILLIS, () -> endWhenIdle(sidecar));
	}

	private void cut(FakeLink link, FuzzAction.CutLink cut) {
		link.cut(cut.toSidecar(), cut.toEntry());
		this.time.after(cut.millis(), link::mend);
		this.time.after(SILENCE_MILLIS, () -> {
			if (link.isCut()) {
				link.breakOff();
			}
		});
	}

	private void publish(int without) {
		this.goodVersion = ++this.version;
		StringBuilder document = new StringBuilder("{\"version\": ").append(this.version);
		document.append(", \"keys\": {\"retryWindow\": \"10s\", \"viewAge\": \"5s\", \"serviceStaleness\": \"3s\"}");
		document.append(", \"targets\": [");
		for (int i = 0; i < TARGETS; i++) {
			if (i != without) {
				document.append("{\"name\": \"").append(targetName(i)).append("\", \"dataCentre\": \"east\", ");
				document.append("\"address\": \"127.0.0.1:").append(1000 + i).append("\", \"serves\": [\"m\"]},");
			}
		}
		this.platform.publish(this.version, document.append("]}").toString());
	}

	private FakeSidecar newSidecar(int index) {
		return new FakeSidecar(this.time, this.random, this, index, ++this.count, this.engines[index], this.platform);
	}

	private FakeEntry newEntry(int index) {
		return new FakeEntry(this.time, this.random, this, index, this.platform);
	}

	private void reconnectAll() {
		this.links.removeIf((l) -> l.isBroken() && !l.entry().isOpen(l));
		for (FakeEntry entry : this.entries) {
			for (int i = 0; i < TARGETS; i++) {
				connect(entry, i);
			}
		}
		this.time.after(RECONNECT_MILLIS + this.random.nextInt(200), this::reconnectAll);
	}

	private boolean isConnecting(FakeEntry entry, int index) {
		return this.links.stream()
			.anyMatch((l) -> l.entry() == entry && l.sidecar() == this.sidecars[index] && !l.isBroken());
	}

	private List<FakeLink> linksBetween(int entry, int sidecar) {
		FakeEntry one = this.entries[index(entry, ENTRIES)];
		FakeSidecar other = this.sidecars[index(sidecar, TARGETS)];
		return this.links.stream().filter((l) -> l.entry() == one && l.sidecar() == other).toList();
	}

	private List<FakeLink> linksOf(FakeProcess process) {
		return this.links.stream().filter((l) -> l.entry() == process || l.sidecar() == process).toList();
	}

	private Optional<FakeCall> call(int number) {
		List<FakeCall> calls = this.oracle.calls();
		return calls.isEmpty() ? Optional.empty() : Optional.of(calls.get(index(number, calls.size())));
	}

	private void checkConverged() {
		if (this.goodVersion != this.version) {
			return;
		}
		for (FakeEntry entry : this.entries) {
			requireVersion("entry " + entry.index(), entry.version());
		}
		for (FakeSidecar sidecar : this.sidecars) {
			if (!sidecar.isDead()) {
				requireVersion("sidecar " + sidecar.index(), sidecar.version());
			}
		}
	}

	private void requireVersion(String who, long held) {
		if (held != this.version) {
			throw new PromiseBrokenException(who + " holds version " + held + " " + CONVERGE_MILLIS
					+ " ms after version " + this.version + " and the end of all faults");
		}
	}

	private void checkSettled() {
		for (FakeCall call : this.oracle.calls()) {
			if (call.isConnected() && !call.isOver()) {
				throw new PromiseBrokenException("call " + call.number() + " never got a final answer");
			}
		}
	}

	private static int index(int given, int count) {
		return Math.floorMod(given, count);
	}

	private record Ticket(String target, OnceKey key) {

	}

}
