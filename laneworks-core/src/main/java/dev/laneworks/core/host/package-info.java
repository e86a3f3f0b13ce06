/**
 * Handling of requests in a sidecar, from admission to the last delivered token.
 */
package dev.laneworks.core.host;
