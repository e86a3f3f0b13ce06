/**
 * HTTP interface for callers: request parsing, streamed responses and refusals.
 */
package dev.laneworks.entry.caller;
