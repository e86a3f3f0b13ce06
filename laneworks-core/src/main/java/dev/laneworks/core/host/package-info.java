/**
 * A sidecar's side of a request, from admission to the last delivered token.
 */
package dev.laneworks.core.host;
