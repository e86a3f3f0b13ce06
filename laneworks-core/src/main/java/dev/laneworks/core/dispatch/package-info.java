/**
 * Dispatch of requests directly to targets without a sidecar: selection of targets,
 * attempts and retries, and resumption of generations at copies of their KV cache.
 */
package dev.laneworks.core.dispatch;
