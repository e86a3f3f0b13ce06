/**
 * Export of metrics for scrapers.
 */
package dev.laneworks.runtime.metrics;
