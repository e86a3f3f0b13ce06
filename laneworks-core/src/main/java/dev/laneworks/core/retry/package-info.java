/**
 * Limits on retries: budget, backoff and target health.
 */
package dev.laneworks.core.retry;
