package dev.laneworks.core.host;

import java.util.Optional;

import dev.laneworks.core.message.SidecarMessage;
import dev.laneworks.core.message.SidecarRequest;
import dev.laneworks.core.message.StreamId;
import dev.laneworks.core.verdict.Refusal;

/**
 * Refuses requests that did not run and removes their state.
 */
final class Refuser {

	private final HostContext context;

	Refuser(HostContext context) {
		this.context = context;
	}

	void refuse(long link, StreamId stream, SidecarRequest request, Refusal refusal) {
		this.context.counters().refused().increment();
		this.context.audit().refused(request, refusal);
		this.context.outputs().send(link, new SidecarMessage.Refused(stream, refusal));
	}

	/**
	 * Refuse a request that was never sent to the target, or that the target certainly
	 * did not run.
	 * @param generation the generation of the request
	 * @param refusal the answer to the reader, if there is one
	 * @param now the current time in milliseconds
	 */
	void refuseBeforeExecution(Generation generation, Refusal refusal, long now) {
		Optional<Reader> reader = generation.reader();
		drop(generation, now);
		reader.ifPresent((r) -> refuse(r.link(), r.stream(), generation.work(), refusal));
	}

	void refuseAllBeforeExecution(Refusal refusal, long now) {
		for (Generation generation : this.context.registry().copyOfAll()) {
			if (generation.state().isBeforeExecution()) {
				refuseBeforeExecution(generation, refusal, now);
			}
		}
	}

	// Remove a generation. Without a key, its name is revoked as well.
	void drop(Generation generation, long now) {
		this.context.registry().remove(generation.name());
		this.context.delivery().detachReader(generation, now);
		this.context.admission().remove(generation);
		if (!generation.isKeyed()) {
			this.context.registry().revoke(generation.name(), now);
		}
	}

}
