/**
 * Detection and quarantine of requests that crash targets.
 */
package dev.laneworks.core.poison;
