package dev.laneworks.bench.policy;

/**
 * Request of a trace; the length of its output is hidden from every policy but the
 * clairvoyant one.
 *
 * @param atMillis the arrival time in milliseconds since the start of the trace
 * @param account the client account
 * @param priority the priority, where a higher value is served first
 * @param promptTokens the length of the prompt in tokens
 * @param length the length of the output in tokens
 * @param timeoutMillis the longest wait of the caller for the first token in milliseconds
 */
record Arrival(long atMillis, String account, int priority, int promptTokens, int length, long timeoutMillis) {

}
