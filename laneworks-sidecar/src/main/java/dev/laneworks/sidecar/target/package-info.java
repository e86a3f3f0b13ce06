/**
 * HTTP client of the target next to the sidecar.
 */
package dev.laneworks.sidecar.target;
