/**
 * Callers' HTTP interface: requests in, streams and final answers out.
 */
package dev.laneworks.entry.caller;
