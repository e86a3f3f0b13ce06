/**
 * Stateful fuzzing of the core's decisions against an oracle that holds what must always
 * hold.
 */
package dev.laneworks.bench.fuzz;
