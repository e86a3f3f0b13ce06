/**
 * Measurement of how costs grow with the size of the fleet, for docs/CAPACITY.md.
 */
package dev.laneworks.bench.slopes;
