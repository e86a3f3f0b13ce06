/**
 * Reconstruction of the events of one request from the logs of one or more processes.
 */
package dev.laneworks.entry.explain;
