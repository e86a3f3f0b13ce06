/**
 * Stateful fuzzing of the core's call coordinator and generation host against an oracle
 * that checks their invariants.
 */
package dev.laneworks.bench.fuzz;
