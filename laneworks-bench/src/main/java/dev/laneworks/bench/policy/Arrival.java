package dev.laneworks.bench.policy;

/**
 * A request of a trace; its length is known to nobody but the engine, and to the
 * clairvoyant.
 *
 * @param atMillis when it comes
 * @param account the client account
 * @param priority higher goes first
 * @param promptTokens the tokens of its prompt
 * @param length the tokens of its output
 * @param patienceMillis how long its caller waits for the first token
 */
record Arrival(long atMillis, String account, int priority, int promptTokens, int length, long patienceMillis) {

}
