package dev.laneworks.core.returns;

import java.util.Objects;

import dev.laneworks.core.gossip.ServiceDemand;

/**
 * Engine memory that a service is expected to release, and the demand that precedes a
 * refused caller.
 *
 * @param releasedPerMillisecond the memory that all engines release per millisecond for
 * queued and returning generations, in tokens
 * @param excessTokens the memory in use above the start limit of the refused generation,
 * which must be released first, in tokens
 * @param queuedTokens the memory that all generations queued at this entry need, in
 * tokens
 * @param queuedAheadTokens the part of it that goes before the refused generation
 * @param others the latest reported demand of other entries
 * @param entries the number of known entries, including this one
 * @since 0.4
 */
public record MemoryOutlook(double releasedPerMillisecond, double excessTokens, long queuedTokens,
		long queuedAheadTokens, ServiceDemand others, int entries) {

	public MemoryOutlook {
		Objects.requireNonNull(others, "others must not be null");
	}

	/**
	 * Estimate the memory to be released until a queued generation of this entry starts.
	 * Other entries report no priorities, so their queues are assumed to be composed like
	 * the own one. If that is empty, each of them is assumed to hold one generation that
	 * goes first.
	 * @param tokens the memory of the generation, in tokens
	 * @return the number of tokens
	 */
	double neededTokens(long tokens) {
		double queuedByOthers = this.others.queuedTokens();
		double aheadAtOthers = (this.queuedTokens > 0) ? queuedByOthers * this.queuedAheadTokens / this.queuedTokens
				: Math.min(queuedByOthers, (this.entries - 1.0) * tokens);
		return this.excessTokens + this.queuedAheadTokens + aheadAtOthers + tokens;
	}

}
