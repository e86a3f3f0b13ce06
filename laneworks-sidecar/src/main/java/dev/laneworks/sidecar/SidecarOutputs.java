package dev.laneworks.sidecar;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import dev.laneworks.core.host.HostOutputs;
import dev.laneworks.core.message.EntryMessage;
import dev.laneworks.core.message.IdempotencyKey;
import dev.laneworks.core.message.LoadReport;
import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.sidecar.target.TargetClient;
import dev.laneworks.wire.Link;
import dev.laneworks.wire.TargetLinks;

/**
 * Outputs of the generation host: messages to entries, calls to the target and key
 * revocations at other sidecars.
 */
final class SidecarOutputs implements HostOutputs {

	private final Map<Long, Link> links;

	private final TargetClient target;

	private final TargetLinks otherSidecars;

	private final Set<String> linkedHomes = new HashSet<>();

	private final Map<String, Set<IdempotencyKey>> unsentKeys = new HashMap<>();

	private Supplier<LoadReport> load;

	SidecarOutputs(Map<Long, Link> links, TargetClient target, TargetLinks otherSidecars) {
		this.links = links;
		this.target = target;
		this.otherSidecars = otherSidecars;
	}

	@Override
	public void send(long link, SidecarMessage message) {
		Link openLink = this.links.get(link);
		if (openLink == null) {
			return;
		}
		openLink.send(message);
		// The load report is cheap when it shares a TCP segment with a reply, and
		// expensive in one of its own.
		if (!(message instanceof SidecarMessage.Chunk) && !(message instanceof SidecarMessage.Load)) {
			sendLoad(openLink);
		}
	}

	@Override
	public void start(String generation, SidecarRequest request) {
		this.target.start(generation, request);
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
	public void preempt(String generation) {
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
	public void requestKeyRevocation(String home, IdempotencyKey key) {
		if (this.linkedHomes.contains(home)) {
			this.otherSidecars.send(home, new EntryMessage.RevokeKey(key));
			return;
		}
		this.unsentKeys.computeIfAbsent(home, (h) -> new HashSet<>()).add(key);
		this.otherSidecars.connect(home);
	}

	void onHomeUp(String home) {
		this.linkedHomes.add(home);
		Set<IdempotencyKey> keys = this.unsentKeys.remove(home);
		if (keys != null) {
			keys.forEach((k) -> this.otherSidecars.send(home, new EntryMessage.RevokeKey(k)));
		}
	}

	// Unsent requests are dropped; the host times out waiting for the replies.
	void onHomeDown(String home) {
		this.linkedHomes.remove(home);
		this.unsentKeys.remove(home);
	}

	// Not in the constructor, since the host takes this object as its outputs.
	void setLoad(Supplier<LoadReport> hostLoad) {
		this.load = hostLoad;
	}

	void sendLoad(Link link) {
		link.send(new SidecarMessage.Load(this.load.get()));
	}

	void sendLoadToAll() {
		this.links.values().forEach(this::sendLoad);
	}

}
