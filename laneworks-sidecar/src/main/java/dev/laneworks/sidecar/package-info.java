/**
 * Sidecar program, which runs next to each target and executes requests on it.
 */
package dev.laneworks.sidecar;
