/**
 * Positions in a generation's output and the log that output is read from.
 */
package dev.laneworks.core.stream;
