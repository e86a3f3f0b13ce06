package dev.laneworks.core.dispatch;

/**
 * An engine's report of its load and memory.
 *
 * @param running the requests that run
 * @param waiting the requests that wait
 * @param usedTokens the memory that can't give way, in tokens
 * @param totalTokens all memory, in tokens
 * @since 0.2
 */
public record EngineReport(int running, int waiting, long usedTokens, long totalTokens) {

}
