package dev.laneworks.core.message;

/**
 * Load of a target as reported by its sidecar.
 *
 * @param running the number of running generations or calls
 * @param queued the number of requests waiting for admission
 * @param usedTokens the number of tokens in the engine's memory
 * @param capacityTokens the capacity of the engine's memory, in tokens
 * @param leaving whether the target is draining and accepts no new requests
 * @since 0.1
 */
public record LoadReport(int running, int queued, long usedTokens, long capacityTokens, boolean leaving) {

}
