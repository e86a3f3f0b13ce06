/**
 * Messages between entries and sidecars as typed, immutable values.
 */
package dev.laneworks.core.message;
