package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.message.Work;
import dev.laneworks.core.verdict.Refusal;

/**
 * Refuses requests that did not run, and forgets them.
 */
final class Refuser {

	private final HostParts host;

	Refuser(HostParts host) {
		this.host = host;
	}

	void refuse(long link, StreamId stream, Work work, Refusal refusal) {
		this.host.counters().refused().increment();
		this.host.audit().refused(work, refusal);
		this.host.outputs().send(link, new SidecarMessage.Refused(stream, refusal));
	}

	/**
	 * Refuse a request that was never handed to the target, or that the target is known
	 * not to have run.
	 * @param generation the request's generation
	 * @param refusal the refusal
	 * @param now the time in milliseconds
	 */
	void refuseBeforeRun(Generation generation, Refusal refusal, long now) {
		Optional<Reader> reader = generation.reader();
		drop(generation, now);
		reader.ifPresent((r) -> refuse(r.link(), r.stream(), generation.work(), refusal));
	}

	// Refuses all requests that were not handed to the target.
	void refuseAllBeforeRun(Refusal refusal, long now) {
		for (Generation generation : this.host.held().copyOfAll()) {
			if (generation.state().isBeforeRun()) {
				refuseBeforeRun(generation, refusal, now);
			}
		}
	}

	// Forgets a generation; if it is one attempt's alone, its name can't run any more.
	void drop(Generation generation, long now) {
		this.host.held().remove(generation.name());
		this.host.delivery().lose(generation, now);
		this.host.admission().remove(generation);
		if (!generation.isKeyed()) {
			this.host.held().bar(generation.name(), now);
		}
	}

}
