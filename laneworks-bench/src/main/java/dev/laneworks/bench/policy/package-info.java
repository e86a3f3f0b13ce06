/**
 * Replays arrivals through the core's decisions over models of engines, beside baselines
 * and a clairvoyant.
 */
package dev.laneworks.bench.policy;
