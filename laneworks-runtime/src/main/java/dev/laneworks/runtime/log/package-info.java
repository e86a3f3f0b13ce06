/**
 * Structured logging with one JSON object per line.
 */
package dev.laneworks.runtime.log;
