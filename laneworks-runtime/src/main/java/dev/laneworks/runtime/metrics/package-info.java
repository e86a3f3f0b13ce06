/**
 * Serves metrics to scrapers.
 */
package dev.laneworks.runtime.metrics;
