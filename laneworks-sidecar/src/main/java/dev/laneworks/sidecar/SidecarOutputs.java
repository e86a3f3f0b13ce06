package dev.laneworks.sidecar;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import dev.laneworks.core.host.HostOutputs;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.OnceKey;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.Work;
import dev.laneworks.sidecar.target.TargetClient;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.TargetLinks;

/**
 * Carries out what the host asks: frames to entries, calls to the target, questions to
 * other sidecars.
 */
final class SidecarOutputs implements HostOutputs {

	private final Map<Long, Link> links;

	private final TargetClient target;

	private final TargetLinks others;

	/** The links that got an answer since the last load report. */
	private final Set<Long> answered = new HashSet<>();

	private final Set<String> openHomes = new HashSet<>();

	private final Map<String, Set<OnceKey>> unsent = new HashMap<>();

	SidecarOutputs(Map<Long, Link> links, TargetClient target, TargetLinks others) {
		this.links = links;
		this.target = target;
		this.others = others;
	}

	@Override
	public void send(long link, SidecarMessage message) {
		Link open = this.links.get(link);
		if (open == null) {
			return;
		}
		open.send(message);
		if (!(message instanceof SidecarMessage.Chunk)) {
			this.answered.add(link);
		}
	}

	@Override
	public void start(String generation, Work work) {
		this.target.start(generation, work);
	}

	@Override
	public void reattach(String generation, long offset) {
		this.target.reattach(generation, offset);
	}

	@Override
	public void cancel(String generation) {
		this.target.cancel(generation);
	}

	@Override
	public void pause(String generation) {
		this.target.pause(generation);
	}

	@Override
	public void resume(String generation) {
		this.target.resume(generation);
	}

	@Override
	public void lookUp(String generation) {
		this.target.lookUp(generation);
	}

	@Override
	public void askHome(String home, OnceKey key) {
		if (this.openHomes.contains(home)) {
			this.others.send(home, new EntryMessage.BarKey(key));
			return;
		}
		this.unsent.computeIfAbsent(home, (h) -> new HashSet<>()).add(key);
		this.others.connect(home);
	}

	void onHomeUp(String home) {
		this.openHomes.add(home);
		Set<OnceKey> keys = this.unsent.remove(home);
		if (keys != null) {
			keys.forEach((k) -> this.others.send(home, new EntryMessage.BarKey(k)));
		}
	}

	// Questions that were not sent are given up; the host gives up on their answers by
	// itself.
	void onHomeDown(String home) {
		this.openHomes.remove(home);
		this.unsent.remove(home);
	}

	void owesLoad(long link) {
		this.answered.add(link);
	}

	// Tells the load to the links that got an answer since the last time.
	void reportLoad(LoadReport report) {
		this.answered.forEach((l) -> sendLoad(l, report));
		this.answered.clear();
	}

	void reportLoadToAll(LoadReport report) {
		this.links.keySet().forEach((l) -> sendLoad(l, report));
	}

	private void sendLoad(long link, LoadReport report) {
		Link open = this.links.get(link);
		if (open != null) {
			open.send(new SidecarMessage.Load(report));
		}
	}

}
