/**
 * Rate limits, backoff periods and draining that targets signal in their responses.
 */
package dev.laneworks.core.backpressure;
