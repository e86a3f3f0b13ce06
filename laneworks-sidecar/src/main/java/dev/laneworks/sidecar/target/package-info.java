/**
 * Talks to the target over HTTP.
 */
package dev.laneworks.sidecar.target;
