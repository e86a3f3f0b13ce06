/**
 * Measures how costs grow with the fleet, for docs/CAPACITY.md.
 */
package dev.laneworks.bench.slopes;
