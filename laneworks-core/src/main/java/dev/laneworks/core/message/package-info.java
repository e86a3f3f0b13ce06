/**
 * Immutable messages between entries and sidecars.
 */
package dev.laneworks.core.message;
