/**
 * Keeps the configuration of a process up to date from the service and from peers.
 */
package dev.laneworks.core.peer;
