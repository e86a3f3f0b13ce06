/**
 * Logs as one JSON object a line.
 */
package dev.laneworks.runtime.log;
