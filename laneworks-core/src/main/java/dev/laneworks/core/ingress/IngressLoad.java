package dev.laneworks.core.ingress;

/**
 * Work that an entry has in progress.
 *
 * @param openCalls the calls without a complete answer
 * @param queuedBytes the bytes of streams that callers' connections have not taken yet
 * @since 0.4
 */
public record IngressLoad(int openCalls, long queuedBytes) {

	boolean isIdle() {
		return this.openCalls == 0 && this.queuedBytes == 0;
	}

}
