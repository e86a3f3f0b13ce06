package dev.laneworks.core.message;

/**
 * What a sidecar says of its target's load.
 *
 * @param running the number of running generations or calls
 * @param queued the number of requests that wait for admission
 * @param usedTokens the tokens held in the engine's memory
 * @param capacityTokens the tokens that the engine's memory holds at most
 * @param leaving whether the target takes no new work
 * @since 0.1
 */
public record LoadReport(int running, int queued, long usedTokens, long capacityTokens, boolean leaving) {

}
