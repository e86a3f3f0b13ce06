/**
 * Sends requests straight to targets that have no sidecar, and decides on every attempt
 * what may follow it.
 */
package dev.laneworks.core.dispatch;
