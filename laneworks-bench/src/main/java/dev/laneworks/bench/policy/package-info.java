/**
 * Replay of generated traces that compares the core's scheduling with baselines and a
 * clairvoyant policy over models of engines.
 */
package dev.laneworks.bench.policy;
