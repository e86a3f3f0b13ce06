/**
 * Measurement of latency and processor time of requests that reach an engine directly and
 * through entry and sidecar.
 */
package dev.laneworks.bench.path;
