/**
 * Command line, settings, clock and process lifecycle that all programs share.
 */
package dev.laneworks.runtime.program;
