/**
 * Bounds retries by budget, backoff and target health.
 */
package dev.laneworks.core.retry;
