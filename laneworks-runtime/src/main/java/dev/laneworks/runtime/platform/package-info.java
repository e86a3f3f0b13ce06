/**
 * Reads what the platform publishes.
 */
package dev.laneworks.runtime.platform;
