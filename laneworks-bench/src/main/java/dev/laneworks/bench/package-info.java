/**
 * Measurements and fuzzing, started from the command line.
 */
package dev.laneworks.bench;
