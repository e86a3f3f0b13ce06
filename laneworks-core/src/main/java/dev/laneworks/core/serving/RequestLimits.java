package dev.laneworks.core.serving;

/**
 * Size limits and timeouts of incoming requests and their connections.
 *
 * @param maxHeaderBytes the maximum size of the head of a request, in bytes
 * @param maxBodyBytes the maximum size of the body, in bytes
 * @param headTimeoutMillis the timeout for the arrival of a request, in milliseconds
 * @param idleTimeoutMillis the timeout of an idle connection, in milliseconds
 * @since 0.2
 */
public record RequestLimits(int maxHeaderBytes, long maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {

}
