package dev.laneworks.sidecar;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

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

	private final Set<String> openHomes = new HashSet<>();

	private final Map<String, Set<OnceKey>> unsent = new HashMap<>();

	private Supplier<LoadReport> load;

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
		// A report costs little in the segment that carries an answer, and much in one of
		// its own.
		if (!(message instanceof SidecarMessage.Chunk) && !(message instanceof SidecarMessage.Load)) {
			sendLoad(open);
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

	// The host's outputs are this object, so its load comes after.
	void use(Supplier<LoadReport> hostLoad) {
		this.load = hostLoad;
	}

	void sendLoad(Link link) {
		link.send(new SidecarMessage.Load(this.load.get()));
	}

	void sendLoadToAll() {
		this.links.values().forEach(this::sendLoad);
	}

}
