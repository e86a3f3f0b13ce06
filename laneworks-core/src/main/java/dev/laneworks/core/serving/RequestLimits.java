package dev.laneworks.core.serving;

/**
 * What a caller may send and how long it may take over it.
 *
 * @param maxHeaderBytes the largest head of a request, in bytes
 * @param maxBodyBytes the largest body, in bytes
 * @param headTimeoutMillis the longest time a request may take to arrive, in milliseconds
 * @param idleTimeoutMillis the longest rest of a connection, in milliseconds
 * @since 0.2
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {

}
